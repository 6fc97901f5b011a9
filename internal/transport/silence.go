package transport

import (
	"context"
	"net"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/task"
)

// pingKind is the kind of a ping. A fellow that doesn't know it refuses it by
// name, which says as much as an answer.
const pingKind = "link.alive"

// silence is what a link knows about its fellow's silence, in the node's
// monotonic time. Guarded by the link's lock.
type silence struct {
	firstCall time.Duration // the first call since bytes last came in
	lastPing  time.Duration // the newest ping
	suspected bool          // no new calls are put on the link
}

// The steps of a silence under calls.
type silenceAction int

const (
	actionNone    silenceAction = iota // nothing is to be done yet
	actionIdle                         // no call waits: silence says nothing
	actionPing                         // send a ping now
	actionSuspect                      // new calls dial anew from now on
	actionClose                        // end the link now
)

// callSent notes a call going out.
func (h *silence) callSent(now, lastRead time.Duration) {
	if h.firstCall <= lastRead {
		// A moment after what was seen, also within one tick of the clock.
		h.firstCall = max(now, lastRead+1)
	}
}

// nextAction tells what is to be done now and when to look again. A ping goes out
// after half of the patience without a byte; if none comes for the patience
// after it, the link is dead. Half-way there new calls already dial anew.
func (h *silence) nextAction(now, lastRead, pauseEnd, silenceTimeout time.Duration, callsPending bool) (silenceAction, time.Duration) {
	if !callsPending && h.firstCall <= lastRead {
		h.lastPing = 0
		return actionIdle, 0
	}
	// A process that was frozen itself heard nothing for no fault of others.
	base := max(lastRead, h.firstCall, pauseEnd)
	if h.lastPing <= base {
		if due := base + silenceTimeout/2; now < due {
			return actionNone, due
		}
		h.lastPing = now
		return actionPing, now + silenceTimeout/2
	}
	switch due := h.lastPing + silenceTimeout; {
	case now >= due:
		return actionClose, 0
	case h.suspected:
		return actionNone, due
	case now >= h.lastPing+silenceTimeout/2:
		h.suspected = true
		return actionSuspect, due
	}
	return actionNone, h.lastPing + silenceTimeout/2
}

// wakeWatch wakes the watch if it rests. It costs nothing while the watch is at
// work, and the watch rests whenever no link is under calls.
func (n *Node) wakeWatch() {
	if n.watcherActive.Load() || n.watcherActive.Swap(true) {
		return
	}
	select {
	case n.wakeWatcher <- struct{}{}:
	default:
	}
}

// watchLinks is the one timer for all links of the node.
func (n *Node) watchLinks(ctx context.Context) {
	pauseEnd := time.Duration(0)
	for ctx.Err() == nil {
		due := n.checkLinks(pauseEnd)
		if due == 0 {
			// Said before the last look, so that no call is missed.
			n.watcherActive.Store(false)
			if due = n.checkLinks(pauseEnd); due == 0 {
				select {
				case <-n.wakeWatcher:
				case <-ctx.Done():
				}
				continue
			}
			n.watcherActive.Store(true)
		}
		n.sleep(ctx, due-n.now())
		if now := n.now(); now-due > n.SilenceTimeout/4 {
			pauseEnd = now
		}
	}
}

// sleep waits for a time.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	if n.env.Sleep == nil {
		task.Sleep(ctx, d)
		return
	}
	n.env.Sleep(ctx, d)
}

// checkLinks takes the steps that are due and tells when the next is; 0 means that
// no link is under calls.
func (n *Node) checkLinks(pauseEnd time.Duration) time.Duration {
	earliest := time.Duration(0)
	for _, l := range n.listLinks() {
		if due := l.checkSilence(pauseEnd); due > 0 && (earliest == 0 || due < earliest) {
			earliest = due
		}
	}
	return earliest
}

func (l *link) checkSilence(pauseEnd time.Duration) time.Duration {
	l.mu.Lock()
	action, due := l.silence.nextAction(l.node.now(), time.Duration(l.conn.lastRead.Load()), pauseEnd, l.node.SilenceTimeout, len(l.pending) > 0 || len(l.queue.congestion.probes) > 0)
	replaced := action == actionIdle && l.silence.suspected
	l.mu.Unlock()
	switch action {
	case actionIdle:
		// It was doubted and came back to life, but others took its place.
		if replaced {
			l.terminate(endDoubted)
		}
	case actionPing:
		l.ping()
	case actionSuspect:
		l.node.forgetDialed(l)
	case actionClose:
		l.node.env.Log.Emit(event.LinkSilent, "fellow", l.peer.Node)
		l.reset()
	}
	return due
}

// ping asks for a sign of life. It is no call that must come out: a full queue
// drops it, and a fellow that said goodbye still gets it.
func (l *link) ping() {
	l.enqueue(&queuedFrame{head: head{kind: pingKind, id: l.nextID.Add(1)}}, false)
}

// answerPing answers a ping, with when it came: by that a fellow tells how long the
// way here was. The clock starts with the fellow's hello, which came the same
// way.
func (l *link) answerPing(f *frame) {
	response := l.node.newResponse(f.head, pingKind, nil, nil)
	response.sentAtMS = 1 + (l.node.now() - l.conn.helloReceived).Milliseconds()
	if f.id != 0 {
		l.enqueue(response, true)
	}
}

// reset ends a dead link so that bytes held up by a cut are dropped, and not
// delivered late when the cut heals.
func (l *link) reset() {
	if conn, ok := l.conn.Conn.(interface{ SetLinger(int) error }); ok {
		_ = conn.SetLinger(0)
	}
	l.terminate(endSilent)
}

var _ interface{ SetLinger(int) error } = (*net.TCPConn)(nil)
