package transport

import (
	"bufio"
	"context"
	"time"

	"puffincrank/internal/fault"
)

// linkTo returns the open link to addr or dials one; concurrent callers share one dial. A
// caller waits at most half of the silence timeout: by then the peer is most likely
// unreachable, and the caller may try others. A dial that is still undecided after its own
// timeout was stopped by a pause of this process. It says nothing about the peer, so new
// callers do not share it.
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

// overdue reports whether a dial is still undecided after its timeout.
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
	// If the dial or the handshake failed, no call was sent.
	dial.err = fault.Wrap(fault.Unsent, err, "dial "+addr)
	if n.dialed[addr] == dial {
		delete(n.dialed, addr)
	}
	n.mu.Unlock()
}
