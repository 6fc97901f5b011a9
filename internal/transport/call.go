package transport

import (
	"context"
	"time"

	"puffincrank/internal/fault"
)

// Call calls a fellow and unpacks its receipt. The kinds of error tell what is
// known: Unsent and Refused mean that nothing was done, Unknown that it may
// have been. The call goes by the context's lane.
func Call[O any](ctx context.Context, n *Node, addr, kind string, in any) (O, error) {
	var out O
	body, err := pack(in)
	if err != nil {
		return out, fault.Wrap(fault.Unsent, err, kind)
	}
	got, err := n.call(ctx, addr, kind, body)
	if err != nil {
		return out, err
	}
	err = Decode(got.body, &out)
	got.free()
	return out, fault.Wrap(fault.Unknown, err, kind)
}

// call goes over the link to addr, or over the road where there are no links.
// The body is let go.
func (n *Node) call(ctx context.Context, addr, kind string, body *room) (*frame, error) {
	if n.road != nil {
		return n.road.drive(ctx, n, addr, kind, body, n.calls.Add(1))
	}
	l, err := n.link(ctx, addr)
	if err != nil {
		body.free()
		return nil, err
	}
	return l.call(ctx, kind, body)
}

// Send sends without a receipt; a loss is left to repair.
func (n *Node) Send(ctx context.Context, addr, kind string, in any) error {
	body, err := pack(in)
	if err != nil {
		return err
	}
	if n.road != nil {
		_, err = n.road.drive(ctx, n, addr, kind, body, 0)
		return err
	}
	l, err := n.link(ctx, addr)
	if err != nil {
		body.free()
		return err
	}
	i := &item{head: head{kind: kind, lane: laneOf(ctx)}, body: body}
	if n.over(i) || !l.post(i, false) {
		return fault.New(fault.Unsent, "link to %s takes no more", l.hail.Node)
	}
	return nil
}

// over tells that a frame is over the bound on frames.
func (n *Node) over(i *item) bool {
	return i.body.size()+most+len(i.kind)+len(i.say) > n.MaxFrameBytes
}

// call sends one call and waits for its receipt.
func (l *link) call(ctx context.Context, kind string, body *room) (*frame, error) {
	i := &item{head: head{kind: kind, id: l.next.Add(1), lane: laneOf(ctx)}, body: body}
	if end, ok := ctx.Deadline(); ok {
		i.left = time.Until(end).Milliseconds()
		if i.left <= 0 {
			body.free()
			return nil, fault.New(fault.Unsent, "no time left for %s", kind)
		}
		i.at = 1 + (l.n.now() - l.conn.said).Milliseconds()
	}
	late, end := i.due(ctx)
	defer end()
	if l.n.over(i) {
		body.free()
		return nil, fault.New(fault.Unsent, "%s: frame over the bound", kind)
	}
	if i.lane == LaneBulk && body.size() <= start {
		// What is large is its receipt, on the way back.
		i.lane, i.back = LaneBulk-1, LaneBulk
	}
	t := l.n.turn()
	t.out, t.item, i.turn = false, i, t
	id := i.id
	l.mu.Lock()
	l.wait[id] = t
	l.hush.ask(l.n.now(), time.Duration(l.conn.seen.Load()))
	l.mu.Unlock()
	l.n.rouse()
	if !l.post(i, false) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.wait, id)
		if l.over || l.gone {
			return nil, fault.New(fault.Unsent, "link to %s is ending", l.hail.Node)
		}
		return nil, l.stuffed()
	}
	why := "broke during"
wait:
	for {
		select {
		case got := <-t.back:
			l.n.turns.Put(t)
			return got.done(kind)
		case <-l.done:
			break wait
		case <-ctx.Done():
			why = "gave no receipt in time of"
			break wait
		case <-late:
			// What has gone out by now may take its time; what has not is taken back.
			if full := l.overdue(id, t); full != nil {
				return nil, full
			}
			late = nil
		}
	}
	l.mu.Lock()
	_, waits := l.wait[id]
	delete(l.wait, id)
	certain := waits && l.recall(t)
	l.mu.Unlock()
	if waits && !certain {
		l.abandons(ctx, kind, id)
	}
	if !waits {
		// The receipt came in this very moment.
		return (<-t.back).done(kind)
	}
	if certain && laneOf(ctx) == LaneBulk && ctx.Err() != nil {
		// Nothing is wrong with the fellow: it had to wait for too long.
		l.mu.Lock()
		defer l.mu.Unlock()
		return nil, l.stuffed()
	}
	if certain {
		return nil, fault.New(fault.Unsent, "link to %s %s %s, which was not written", l.hail.Node, why, kind)
	}
	return nil, fault.New(fault.Unknown, "link to %s %s %s", l.hail.Node, why, kind)
}

// done tells what became of a call by its receipt.
func (f *frame) done(kind string) (*frame, error) {
	if f.bad == "" {
		return f, nil
	}
	defer f.free()
	switch f.bad {
	case "unsent":
		return nil, fault.New(fault.Unsent, "%s: %s", kind, f.say)
	case "refused", "unspoken", "full":
		return nil, fault.New(fault.Refused, "%s: %s", kind, f.say)
	case "stale":
		return nil, fault.New(fault.Stale, "%s: %s", kind, f.say)
	}
	return nil, fault.New(fault.Unknown, "%s: %s", kind, f.say)
}
