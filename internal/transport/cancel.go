package transport

import (
	"context"
	"errors"
)

// cancelKind is the kind of a frame that carries the ID of one of the sender's calls:
// nobody waits for its response any more. Peers that do not know this kind refuse it and
// go on with the call.
const cancelKind = "call.abandon"

// PropagateCancellation makes calls of a kind end when their callers stop waiting, and
// lets their handlers notify the callers: the handler's context is canceled when the
// caller's was, or when the link that the response would use has ended. Both sides have to
// request this before Listen. A context that ended by its deadline, or was canceled with
// a cause of its own (context.WithCancelCause), cancels nothing at the peer.
func PropagateCancellation(n *Node, kind string) {
	n.handlers[kind].cancelable = true
}

// CanceledByCaller reports whether a context was canceled by the caller that the work was
// for, and neither ended by its deadline nor was canceled with a cause of its own.
func CanceledByCaller(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) == context.Canceled
}

// sendCancel tells the peer that nobody waits for a call any more, if the peer would end
// the call for that. The frame has a few bytes, uses the most urgent lane and is never
// rejected for lack of queue capacity.
func (l *link) sendCancel(ctx context.Context, kind string, id uint64) {
	if target := l.node.handlers[kind]; target == nil || !target.cancelable || !CanceledByCaller(ctx) {
		return
	}
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.queue.push(&queuedFrame{head: head{kind: cancelKind, id: id}})
	claimed := l.claimWriter()
	l.mu.Unlock()
	if claimed {
		l.flush()
	}
}

// cancelableContext returns a context for an inbound call that the peer may cancel. The
// caller calls done when the call is finished.
func (l *link) cancelableContext(id uint64) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(l.node.tasks.Context())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		cancel()
		return ctx, func() {}
	}
	if l.inboundCancels == nil {
		l.inboundCancels = map[uint64]context.CancelFunc{}
	}
	l.inboundCancels[id] = cancel
	return ctx, func() {
		l.mu.Lock()
		delete(l.inboundCancels, id)
		l.mu.Unlock()
		cancel()
	}
}

// handleCancel processes the peer's message that it no longer waits for one of its calls.
func (l *link) handleCancel(id uint64) {
	l.mu.Lock()
	cancel := l.inboundCancels[id]
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// cancelInbound cancels the peer's calls in progress, whose responses can no longer be
// delivered.
func (l *link) cancelInbound() {
	l.mu.Lock()
	cancels := l.inboundCancels
	l.inboundCancels = nil
	l.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// cancelableContext is the counterpart for the in-process network: it returns the context
// of a call that is canceled along with the caller's.
func (n *Node) cancelableContext(caller context.Context, from *Node, target *handler) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(n.tasks.Context())
	if !target.cancelable {
		return ctx, cancel
	}
	ctx = context.WithValue(ctx, callOriginKey{}, &callOrigin{network: n.network, caller: from, handler: n})
	unregister := context.AfterFunc(caller, func() {
		if CanceledByCaller(caller) {
			cancel()
		}
	})
	return ctx, func() {
		unregister()
		cancel()
	}
}
