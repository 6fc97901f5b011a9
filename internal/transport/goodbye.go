package transport

import (
	"context"
	"time"

	"puffincrank/internal/task"
)

const goodbyeKind = "link.bye"

// CloseGracefully ends the node's links politely. Fellows are told that this one goes:
// they send no more calls, what they sent before is answered, and only then
// may the links be closed. So a planned end leaves no call without an outcome.
func (n *Node) CloseGracefully(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(n.tasks.Context(), timeout)
	defer cancel()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	links := n.listLinks()
	acknowledged := make(chan struct{}, len(links))
	for _, l := range links {
		if !n.tasks.Go("goodbye", func(context.Context) {
			// A fellow that knows no goodbye refuses it by name: the links then
			// end as they always did with it.
			f, _ := l.call(ctx, goodbyeKind, nil)
			f.release()
			acknowledged <- struct{}{}
		}) {
			return
		}
	}
	for range links {
		<-acknowledged
	}
	for ctx.Err() == nil && n.hasPendingWork(links) {
		task.Sleep(ctx, n.SilenceTimeout/100)
	}
}

// hasPendingWork tells that calls are being handled, or that receipts wait or are on
// their way out.
func (n *Node) hasPendingWork(links []*link) bool {
	if n.activeCalls.Load() > 0 {
		return true
	}
	for _, l := range links {
		l.mu.Lock()
		pending := (l.writing || l.queue.count > 0) && !l.ended
		l.mu.Unlock()
		if pending {
			return true
		}
	}
	return false
}

// handleGoodbye takes a fellow's goodbye: no call goes out on this link after the
// receipt of it, which passes all that waits. So calls that still wait are
// certain not to go out. What was asked before is still answered.
func (l *link) handleGoodbye(f *frame) {
	l.node.forgetDialed(l)
	l.mu.Lock()
	l.peerLeaving = true
	var withdrawn []*pendingCall
	for _, queued := range l.queue.waitingCalls() {
		l.withdraw(queued.call)
		delete(l.pending, queued.id)
		withdrawn = append(withdrawn, queued.call)
	}
	l.mu.Unlock()
	for _, t := range withdrawn {
		t.response <- &frame{head: head{errorCode: "unsent", errorText: "fellow is leaving"}}
	}
	l.respond(f.head, goodbyeKind, nil, nil, 0)
	f.release()
}

// forgetDialed makes the next call to the fellow dial anew.
func (n *Node) forgetDialed(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, dial := range n.dialed {
		if dial.link == l {
			delete(n.dialed, addr)
		}
	}
}
