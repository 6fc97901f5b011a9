package transport

import (
	"context"
	"fmt"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
)

// taker handles one kind of calls and casts. It lets the body go as soon as it
// is unpacked.
type taker struct {
	kind string
	ends bool // with the asker's waiting
	run  func(ctx context.Context, from Hello, f *frame) (*room, error)
}

// Handle adds a taker with typed messages. It panics when the kind has one already,
// as http.ServeMux does: which of the two would answer is a fault of the program.
func Handle[I, O any](n *Node, kind string, f func(ctx context.Context, from Hello, in I) (O, error)) {
	if n.takers[kind] != nil {
		panic(fmt.Sprintf("wire: kind %q is registered twice", kind))
	}
	n.takers[kind] = &taker{kind: kind, run: func(ctx context.Context, from Hello, got *frame) (*room, error) {
		var in I
		err := Decode(got.body, &in)
		got.free()
		if err != nil {
			// Nothing was done, so this is a refusal.
			return nil, fault.Wrap(fault.Refused, err, kind)
		}
		out, err := f(ctx, from, in)
		if err != nil {
			return nil, err
		}
		r, err := pack(out)
		return r, fault.Wrap(fault.Unknown, err, kind)
	}}
}

// known spares the usual kinds a text of their own.
func (n *Node) known(kind []byte) string {
	if t := n.takers[string(kind)]; t != nil {
		return t.kind
	}
	return string(kind)
}

// take runs the taker of one frame on a pool worker.
func (n *Node) take(l *link, f *frame) {
	t, h := n.takers[f.kind], f.head
	if t == nil {
		f.free()
		n.env.Log.Emit(event.UnknownMessage, "kind", h.kind, "fellow", l.hail.Node)
		l.receipt(h, h.kind, nil, fault.New(fault.Refused, "kind %q is not spoken here", h.kind), 0)
		return
	}
	n.under.Add(1)
	end := f.end
	// Noted before anything else is read from the link.
	ctx, over := n.g.Context(), func() {}
	if t.ends && h.id != 0 {
		ctx, over = l.heeds(h.id)
	}
	ok := n.pool.Do(func(context.Context) {
		defer n.under.Add(-1)
		defer over()
		ctx := ctx
		if h.left > 0 {
			var stop context.CancelFunc
			ctx, stop = context.WithDeadline(ctx, n.born.Add(end))
			defer stop()
		}
		// Its time ran out on the way here, or while this process stood still.
		if ctx.Err() != nil {
			f.free()
			l.receipt(h, t.kind, nil, fault.New(fault.Refused, "late"), 0)
			return
		}
		if h.lane > LaneControl {
			ctx = context.WithValue(ctx, cameKey{}, &came{l, h.lane})
		}
		if t.ends {
			ctx = context.WithValue(ctx, askerKey{}, &asker{link: l})
		}
		out, err := t.run(ctx, l.hail, f)
		l.receipt(h, t.kind, out, err, end)
	})
	// A full pool refuses for certain: the taker never saw the call.
	if !ok {
		f.free()
		over()
		n.under.Add(-1)
		l.receipt(h, t.kind, nil, fault.New(fault.Refused, "full"), 0)
	}
}

// receipt answers a call; a cast has none.
func (l *link) receipt(to head, of string, body *room, err error, end time.Duration) {
	if to.id == 0 {
		body.free()
		return
	}
	i := l.n.reply(to, of, body, err)
	i.end = end
	l.post(i, true)
}

// reply makes the receipt of a call, on the lane that it came by. A small one
// of bulk, which ends a job that has been done, doesn't wait behind large ones.
func (n *Node) reply(to head, of string, body *room, err error) *item {
	i := &item{head: head{id: to.id, lane: to.lane}, of: of, body: body}
	if err == nil && n.over(i) {
		err = fault.New(fault.Unknown, "receipt over the bound")
	}
	if i.lane == LaneBulk && (err != nil || body.size() <= start) {
		i.lane = LaneBulk - 1
	}
	if err != nil {
		body.free()
		i.body = nil
		i.say, i.bad = clip(err.Error()), "unknown"
		switch {
		case fault.Is(err, fault.Refused), fault.Is(err, fault.Unsent), fault.Is(err, fault.Input):
			i.bad = "refused"
		case fault.Is(err, fault.Stale):
			i.bad = "stale"
		}
	}
	return i
}

// clip keeps the text of an error to a length that fits any frame.
func clip(s string) string { return s[:min(len(s), 4096)] }

// count notes a frame that goes out. The link's lock is held.
func (l *link) count(kind string, size int) {
	s := l.sums[kind]
	if s == nil {
		s = &Traffic{}
		l.sums[kind] = s
	}
	s.Frames++
	s.Bytes += int64(size)
}

// gather adds up what a link sent. The node's lock is held.
func (l *link) gather(into map[Flow]Traffic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for kind, s := range l.sums {
		k := Flow{Kind: kind, OtherZone: l.hail.Zone != l.n.Self.Zone}
		sum := into[k]
		into[k] = Traffic{sum.Frames + s.Frames, sum.Bytes + s.Bytes}
	}
}

// BytesSent gives the bytes sent so far by flow.
func (n *Node) BytesSent() map[Flow]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Flow]Traffic{}
	for k, s := range n.sizes {
		out[k] = s
	}
	for l := range n.all {
		l.gather(out)
	}
	return out
}

// longest keeps times that a fellow names from running over.
const longest = 1 << 60 * time.Nanosecond
