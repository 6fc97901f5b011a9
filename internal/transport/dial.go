package transport

import (
	"bufio"
	"context"
	"time"

	"puffincrank/internal/fault"
)

// linkTo gives the standing link to addr or dials one; callers that come
// together share one dial. A caller waits for half of a dial's time at most: by
// then the fellow is most likely dark, and others may be asked instead. A dial
// that outlived its time was frozen with this process: it says nothing of the
// fellow, so it isn't shared.
func (n *Node) linkTo(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	dial := n.dialed[addr]
	if dial == nil || dial.overdue(n) {
		dial = &dialAttempt{started: n.now(), done: make(chan struct{})}
		n.dialed[addr] = dial
		if !n.tasks.Go("dial", func(ctx context.Context) { n.dialPeer(ctx, addr, dial) }) {
			delete(n.dialed, addr)
			n.mu.Unlock()
			return nil, fault.New(fault.Unsent, "stopping")
		}
	}
	n.mu.Unlock()
	select {
	case <-dial.done:
		return dial.link, dial.err
	default:
	}
	timer := time.NewTimer(dial.started + n.SilenceTimeout/2 - n.now())
	defer timer.Stop()
	select {
	case <-dial.done:
		return dial.link, dial.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
}

// overdue tells that a dial is undecided after the time at which it ends.
func (d *dialAttempt) overdue(n *Node) bool {
	select {
	case <-d.done:
		return false
	default:
		return n.now()-d.started > n.SilenceTimeout
	}
}

func (n *Node) dialPeer(ctx context.Context, addr string, dial *dialAttempt) {
	deadline := time.Now().Add(n.SilenceTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer close(dial.done)
	conn, err := n.env.Net.Dial(ctx, addr)
	if err == nil {
		var l *link
		var r *bufio.Reader
		if l, r, err = n.handshake(conn, true, deadline); err == nil {
			n.mu.Lock()
			dial.link = l
			n.mu.Unlock()
			if n.addLink(l, r) {
				n.trimIfOverLimit()
				return
			}
			err = fault.New(fault.Closed, "stopping")
		}
		_ = conn.Close()
	}
	n.mu.Lock()
	dial.link = nil
	// A failed hello or dial certainly carried no call.
	dial.err = fault.Wrap(fault.Unsent, err, "dial "+addr)
	if n.dialed[addr] == dial {
		delete(n.dialed, addr)
	}
	n.mu.Unlock()
}
