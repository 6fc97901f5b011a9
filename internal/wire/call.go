package wire

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
)

// On adds a taker with typed messages.
func On[I, O any](n *Node, kind string, f func(ctx context.Context, from Hello, in I) (O, error)) {
	n.takers[kind] = func(ctx context.Context, from Hello, body []byte) (any, error) {
		var in I
		if err := Unpack(body, &in); err != nil {
			return nil, err
		}
		return f(ctx, from, in)
	}
}

// Ask calls a fellow and unpacks its receipt. The kinds of error tell what is
// known: Unsent and Refused mean that nothing was done, Unknown that it may
// have been.
func Ask[O any](ctx context.Context, n *Node, addr, kind string, in any) (O, error) {
	var out O
	body, err := pack(in)
	if err != nil {
		return out, fault.Wrap(fault.Unsent, err, kind)
	}
	l, err := n.link(ctx, addr)
	if err != nil {
		return out, err
	}
	got, err := l.call(ctx, kind, body)
	if err != nil {
		return out, err
	}
	if err := Unpack(got, &out); err != nil {
		return out, fault.Wrap(fault.Unknown, err, kind)
	}
	return out, nil
}

// Cast sends without a receipt; a loss is left to repair.
func (n *Node) Cast(ctx context.Context, addr, kind string, in any) error {
	body, err := pack(in)
	if err != nil {
		return err
	}
	l, err := n.link(ctx, addr)
	if err != nil {
		return err
	}
	if !l.send(frame{Kind: kind, Body: body}) {
		return fault.New(fault.Unsent, "link to %s takes no more", addr)
	}
	return nil
}

// take runs the taker of one frame on a pool worker.
func (n *Node) take(l *link, f frame) {
	f0 := n.takers[f.Kind]
	if f0 == nil {
		n.env.Log.Emit(event.Unspoken, "kind", f.Kind, "fellow", l.far.Node)
		n.answer(l, f, nil, fault.New(fault.Refused, "kind %q is not spoken here", f.Kind))
		return
	}
	n.under.Add(1)
	ok := n.pool.Do(func(ctx context.Context) {
		defer n.under.Add(-1)
		if f.Left > 0 {
			var end context.CancelFunc
			ctx, end = context.WithTimeout(ctx, time.Duration(f.Left)*time.Millisecond)
			defer end()
		}
		out, err := f0(ctx, l.far, f.Body)
		n.answer(l, f, out, err)
	})
	// A full pool refuses for certain: the taker never saw the call.
	if !ok {
		n.under.Add(-1)
		n.answer(l, f, nil, fault.New(fault.Refused, "full"))
	}
}

func (n *Node) answer(l *link, f frame, out any, err error) {
	if f.ID == 0 {
		return
	}
	r := frame{ID: f.ID, of: f.Kind}
	if err == nil {
		var body []byte
		if body, err = pack(out); err == nil {
			r.Body = msgpack.RawMessage(body)
		}
	}
	if err != nil {
		r.Say, r.Bad = err.Error(), "unknown"
		switch {
		case fault.Is(err, fault.Refused), fault.Is(err, fault.Unsent), fault.Is(err, fault.Input):
			r.Bad = "refused"
		case fault.Is(err, fault.Stale):
			r.Bad = "stale"
		}
	}
	l.owed.Add(1)
	// A receipt must not be lost to a full queue while the link stands.
	select {
	case l.out <- r:
	case <-l.done:
	}
}

func (n *Node) count(kind, area string, size int) {
	k := Flow{Kind: kind, Away: area != n.Self.Area}
	n.mu.Lock()
	s := n.sizes[k]
	if s == nil {
		s = &Sum{}
		n.sizes[k] = s
	}
	s.Frames++
	s.Bytes += int64(size)
	n.mu.Unlock()
}

// Sizes gives the bytes sent so far by flow.
func (n *Node) Sizes() map[Flow]Sum {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Flow]Sum{}
	for k, s := range n.sizes {
		out[k] = *s
	}
	return out
}
