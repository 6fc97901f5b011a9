package transport

import (
	"bufio"
	"context"
	"time"

	"puffincrank/internal/fault"
)

// link gives the standing link to addr or dials one; callers that come
// together share one dial. A caller waits for half of a dial's time at most: by
// then the fellow is most likely dark, and others may be asked instead. A dial
// that outlived its time was frozen with this process: it says nothing of the
// fellow, so it isn't shared.
func (n *Node) link(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	d := n.links[addr]
	if d == nil || d.frozen(n) {
		d = &dial{from: n.now(), done: make(chan struct{})}
		n.links[addr] = d
		if !n.g.Go("dial", func(ctx context.Context) { n.open(ctx, addr, d) }) {
			delete(n.links, addr)
			n.mu.Unlock()
			return nil, fault.New(fault.Unsent, "stopping")
		}
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.l, d.err
	default:
	}
	late := time.NewTimer(d.from + n.SilenceTimeout/2 - n.now())
	defer late.Stop()
	select {
	case <-d.done:
		return d.l, d.err
	case <-late.C:
	case <-ctx.Done():
	}
	return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
}

// frozen tells that a dial is undecided after the time at which it ends.
func (d *dial) frozen(n *Node) bool {
	select {
	case <-d.done:
		return false
	default:
		return n.now()-d.from > n.SilenceTimeout
	}
}

func (n *Node) open(ctx context.Context, addr string, d *dial) {
	by := time.Now().Add(n.SilenceTimeout)
	ctx, end := context.WithDeadline(ctx, by)
	defer end()
	defer close(d.done)
	c, err := n.env.Net.Dial(ctx, addr)
	if err == nil {
		var l *link
		var r *bufio.Reader
		if l, r, err = n.hello(c, true, by); err == nil {
			n.mu.Lock()
			d.l = l
			n.mu.Unlock()
			if n.join(l, r) {
				n.bounded()
				return
			}
			err = fault.New(fault.Closed, "stopping")
		}
		_ = c.Close()
	}
	n.mu.Lock()
	d.l = nil
	// A failed hello or dial certainly carried no call.
	d.err = fault.Wrap(fault.Unsent, err, "dial "+addr)
	if n.links[addr] == d {
		delete(n.links, addr)
	}
	n.mu.Unlock()
}
