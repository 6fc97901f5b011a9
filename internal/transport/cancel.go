package transport

import (
	"context"
	"errors"
)

// cancelKind is a frame that names a call of its sender by its id: nobody waits for
// its receipt any more. Fellows that don't know the word refuse it by name, and do
// what they were asked to.
const cancelKind = "call.abandon"

// PropagateCancellation makes calls of a kind end when their askers no longer wait, and lets
// their takers notify the askers: the
// context of the taker is cancelled when the asker's was, or when the link over
// which the receipt would go has ended. Both sides say so, before Listen. A
// context that ended by its deadline, or was cancelled with a cause of its own
// (context.WithCancelCause), abandons nothing.
func PropagateCancellation(n *Node, kind string) {
	n.handlers[kind].cancellable = true
}

// CanceledByCaller tells that a context was cancelled by whom the work was for, and not
// by time, nor with a cause of its own.
func CanceledByCaller(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) == context.Canceled
}

// sendCancel tells the fellow that nobody waits for a call, if that makes a
// difference there. It is a word of a few bytes on the most urgent lane, and is
// never turned away for want of room.
func (l *link) sendCancel(ctx context.Context, kind string, id uint64) {
	if target := l.node.handlers[kind]; target == nil || !target.cancellable || !CanceledByCaller(ctx) {
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

// cancellableContext gives the context of a call that may be abandoned. The result is called
// when the call is over.
func (l *link) cancellableContext(id uint64) (ctx context.Context, over func()) {
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

// handleCancel takes the fellow's word that it waits no more for one of its calls.
func (l *link) handleCancel(id uint64) {
	l.mu.Lock()
	cancel := l.inboundCancels[id]
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// cancelInbound ends what is under way for a fellow that no receipt can reach.
func (l *link) cancelInbound() {
	l.mu.Lock()
	cancels := l.inboundCancels
	l.inboundCancels = nil
	l.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// cancellableContext is the same on a road: the context of a call that ends with the asker's.
func (n *Node) cancellableContext(caller context.Context, from *Node, target *handler) (ctx context.Context, over func()) {
	ctx, cancel := context.WithCancel(n.tasks.Context())
	if !target.cancellable {
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
