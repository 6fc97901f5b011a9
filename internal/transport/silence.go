package transport

import (
	"context"
	"net"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/task"
)

// pingKind is the kind of a ping. A peer that does not know it refuses it, which shows as
// much as an answer that the peer is alive.
const pingKind = "link.alive"

// silence tracks how long a link's peer has been silent, in the node's monotonic time.
// Guarded by the link's lock.
type silence struct {
	firstCall time.Duration // the first call since bytes last arrived
	lastPing  time.Duration
	suspected bool // no new calls are sent on the link
}

// silenceAction is what to do about a link, given how long its peer has been silent.
type silenceAction int

const (
	actionNone    silenceAction = iota // nothing to do yet
	actionIdle                         // no call waits, so that silence means nothing
	actionPing                         // send a ping now
	actionSuspect                      // new calls dial another link from now on
	actionClose                        // end the link now
)

// callSent records that a call is being sent.
func (h *silence) callSent(now, lastRead time.Duration) {
	if h.firstCall <= lastRead {
		// It is later than the last bytes, also within one tick of the clock.
		h.firstCall = max(now, lastRead+1)
	}
}

// nextAction returns what to do now and when to check again. A ping is sent after half of
// the silence timeout without a byte; if none arrives within the full timeout after the
// ping, the link is dead. Half-way through that time new calls already dial another link.
func (h *silence) nextAction(now, lastRead, pauseEnd, silenceTimeout time.Duration, callsPending bool) (silenceAction, time.Duration) {
	if !callsPending && h.firstCall <= lastRead {
		h.lastPing = 0
		return actionIdle, 0
	}
	// A process that was paused itself received nothing, without any fault of its peers.
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

// ensureWatching wakes watchLinks if it sleeps. It is cheap while watchLinks is running;
// watchLinks sleeps whenever no link has calls waiting.
func (n *Node) ensureWatching() {
	if n.watcherActive.Load() || n.watcherActive.Swap(true) {
		return
	}
	select {
	case n.wakeWatcher <- struct{}{}:
	default:
	}
}

// watchLinks is the single timer for all links of the node.
func (n *Node) watchLinks(ctx context.Context) {
	pauseEnd := time.Duration(0)
	for ctx.Err() == nil {
		due := n.checkLinks(pauseEnd)
		if due == 0 {
			// Cleared before the last check, so that no call is missed.
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

// sleep waits for the duration or until ctx ends.
func (n *Node) sleep(ctx context.Context, duration time.Duration) {
	if n.env.Sleep == nil {
		task.Sleep(ctx, duration)
		return
	}
	n.env.Sleep(ctx, duration)
}

// checkLinks takes the actions that are due and returns when the next is; 0 means that no
// link has calls waiting.
func (n *Node) checkLinks(pauseEnd time.Duration) time.Duration {
	earliest := time.Duration(0)
	for _, l := range n.listLinks() {
		if next := l.checkSilence(pauseEnd); next > 0 && (earliest == 0 || next < earliest) {
			earliest = next
		}
	}
	return earliest
}

func (l *link) checkSilence(pauseEnd time.Duration) time.Duration {
	l.mu.Lock()
	action, next := l.silence.nextAction(l.node.now(), time.Duration(l.conn.lastRead.Load()), pauseEnd, l.node.SilenceTimeout, len(l.pending) > 0 || len(l.queue.congestion.probes) > 0)
	replaced := action == actionIdle && l.silence.suspected
	l.mu.Unlock()
	switch action {
	case actionIdle:
		// The link was suspected and recovered, but another link has replaced it.
		if replaced {
			l.terminate(endSuspected)
		}
	case actionPing:
		l.ping()
	case actionSuspect:
		l.node.forgetDialed(l)
	case actionClose:
		l.node.env.Log.Emit(event.LinkSilent, "fellow", l.peer.Node)
		l.reset()
	}
	return next
}

// ping asks the peer for a sign of life. It need not be delivered: a full queue drops it.
// A peer that said goodbye still gets it.
func (l *link) ping() {
	l.enqueue(&queuedFrame{head: head{kind: pingKind, id: l.nextID.Add(1)}}, false)
}

// answerPing answers a ping with the time of its arrival, from which the peer computes the
// one-way delay. That time counts from the peer's hello, which came the same way.
func (l *link) answerPing(f *frame) {
	response := l.node.newResponse(f.head, pingKind, nil, nil)
	response.sentAtMS = 1 + (l.node.now() - l.conn.helloReceived).Milliseconds()
	if f.id != 0 {
		l.enqueue(response, true)
	}
}

// reset ends a dead link with a TCP reset, so that bytes held up by a partition are
// dropped and not delivered late when it heals.
func (l *link) reset() {
	if conn, ok := l.conn.Conn.(interface{ SetLinger(int) error }); ok {
		_ = conn.SetLinger(0)
	}
	l.terminate(endSilent)
}

var _ interface{ SetLinger(int) error } = (*net.TCPConn)(nil)
