package transport

import (
	"context"
	"time"

	"puffincrank/internal/task"
)

const goodbyeKind = "link.bye"

// CloseGracefully closes the node's links without loss of calls. It tells the peers that
// this node leaves: they send no more calls, those sent earlier are answered, and then the
// links may be closed. So a planned shutdown leaves no call with an unknown outcome.
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
			// A peer that does not know the goodbye message refuses it; links to it then end
			// as on an ordinary close.
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

// hasPendingWork reports whether calls are being handled, or responses are queued or being
// written.
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

// handleGoodbye processes a peer's goodbye message. No call is sent on this link after its
// response, which overtakes all queued frames, so the calls still in the queue are
// withdrawn and known to be unsent. Calls received earlier are still answered.
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
	for _, call := range withdrawn {
		call.response <- &frame{head: head{errorCode: "unsent", errorText: "fellow is leaving"}}
	}
	l.respond(f.head, goodbyeKind, nil, nil, 0)
	f.release()
}

// forgetDialed makes the next call to the peer dial a new link.
func (n *Node) forgetDialed(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, dial := range n.dialed {
		if dial.link == l {
			delete(n.dialed, addr)
		}
	}
}
