package transport

import (
	"context"
	"net"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/task"
)

// alive is the kind of a ping. A fellow that doesn't know it refuses it by
// name, which says as much as an answer.
const alive = "link.alive"

// hush is what a link knows about its fellow's silence, in the node's
// monotonic time. Guarded by the link's lock.
type hush struct {
	first time.Duration // the first call since bytes last came in
	ping  time.Duration // the newest ping
	doubt bool          // no new calls are put on the link
}

// The steps of a silence under calls.
type step int

const (
	still  step = iota // nothing is to be done yet
	idle               // no call waits: silence says nothing
	pinged             // send a ping now
	doubts             // new calls dial anew from now on
	dead               // end the link now
)

// ask notes a call going out.
func (h *hush) ask(now, seen time.Duration) {
	if h.first <= seen {
		// A moment after what was seen, also within one tick of the clock.
		h.first = max(now, seen+1)
	}
}

// next tells what is to be done now and when to look again. A ping goes out
// after half of the patience without a byte; if none comes for the patience
// after it, the link is dead. Half-way there new calls already dial anew.
func (h *hush) next(now, seen, thaw, patience time.Duration, waits bool) (step, time.Duration) {
	if !waits && h.first <= seen {
		h.ping = 0
		return idle, 0
	}
	// A process that was frozen itself heard nothing for no fault of others.
	base := max(seen, h.first, thaw)
	if h.ping <= base {
		if end := base + patience/2; now < end {
			return still, end
		}
		h.ping = now
		return pinged, now + patience/2
	}
	switch end := h.ping + patience; {
	case now >= end:
		return dead, 0
	case h.doubt:
		return still, end
	case now >= h.ping+patience/2:
		h.doubt = true
		return doubts, end
	}
	return still, h.ping + patience/2
}

// rouse wakes the watch if it rests. It costs nothing while the watch is at
// work, and the watch rests whenever no link is under calls.
func (n *Node) rouse() {
	if n.awake.Load() || n.awake.Swap(true) {
		return
	}
	select {
	case n.stir <- struct{}{}:
	default:
	}
}

// watch is the one timer for all links of the node.
func (n *Node) watch(ctx context.Context) {
	thaw := time.Duration(0)
	for ctx.Err() == nil {
		due := n.look(thaw)
		if due == 0 {
			// Said before the last look, so that no call is missed.
			n.awake.Store(false)
			if due = n.look(thaw); due == 0 {
				select {
				case <-n.stir:
				case <-ctx.Done():
				}
				continue
			}
			n.awake.Store(true)
		}
		n.rest(ctx, due-n.now())
		if now := n.now(); now-due > n.SilenceTimeout/4 {
			thaw = now
		}
	}
}

// rest waits for a time.
func (n *Node) rest(ctx context.Context, d time.Duration) {
	if n.env.Sleep == nil {
		task.Sleep(ctx, d)
		return
	}
	n.env.Sleep(ctx, d)
}

// look takes the steps that are due and tells when the next is; 0 means that
// no link is under calls.
func (n *Node) look(thaw time.Duration) time.Duration {
	first := time.Duration(0)
	for _, l := range n.standing() {
		if due := l.look(thaw); due > 0 && (first == 0 || due < first) {
			first = due
		}
	}
	return first
}

func (l *link) look(thaw time.Duration) time.Duration {
	l.mu.Lock()
	s, due := l.hush.next(l.n.now(), time.Duration(l.conn.seen.Load()), thaw, l.n.SilenceTimeout, len(l.wait) > 0 || len(l.q.flow.marks) > 0)
	spent := s == idle && l.hush.doubt
	l.mu.Unlock()
	switch s {
	case idle:
		// It was doubted and came back to life, but others took its place.
		if spent {
			l.shut(endDoubted)
		}
	case pinged:
		l.ping()
	case doubts:
		l.n.unlist(l)
	case dead:
		l.n.env.Log.Emit(event.LinkSilent, "fellow", l.hail.Node)
		l.sever()
	}
	return due
}

// ping asks for a sign of life. It is no call that must come out: a full queue
// drops it, and a fellow that said goodbye still gets it.
func (l *link) ping() {
	l.post(&item{head: head{kind: alive, id: l.next.Add(1)}}, false)
}

// here answers a ping, with when it came: by that a fellow tells how long the
// way here was. The clock starts with the fellow's hello, which came the same
// way.
func (l *link) here(f *frame) {
	i := l.n.reply(f.head, alive, nil, nil)
	i.at = 1 + (l.n.now() - l.conn.heard).Milliseconds()
	if f.id != 0 {
		l.post(i, true)
	}
}

// sever ends a dead link so that bytes held up by a cut are dropped, and not
// delivered late when the cut heals.
func (l *link) sever() {
	if c, ok := l.conn.Conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0)
	}
	l.shut(endSilent)
}

var _ interface{ SetLinger(int) error } = (*net.TCPConn)(nil)
