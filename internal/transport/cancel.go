package transport

import (
	"context"
	"errors"
)

// abandon is a frame that names a call of its sender by its id: nobody waits for
// its receipt any more. Fellows that don't know the word refuse it by name, and do
// what they were asked to.
const abandon = "call.abandon"

// PropagateCancellation makes calls of a kind end when their askers no longer wait, and lets
// their takers notify the askers: the
// context of the taker is cancelled when the asker's was, or when the link over
// which the receipt would go has ended. Both sides say so, before Listen. A
// context that ended by its deadline, or was cancelled with a cause of its own
// (context.WithCancelCause), abandons nothing.
func PropagateCancellation(n *Node, kind string) {
	n.takers[kind].ends = true
}

// CanceledByCaller tells that a context was cancelled by whom the work was for, and not
// by time, nor with a cause of its own.
func CanceledByCaller(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) == context.Canceled
}

// abandons tells the fellow that nobody waits for a call, if that makes a
// difference there. It is a word of a few bytes on the most urgent lane, and is
// never turned away for want of room.
func (l *link) abandons(ctx context.Context, kind string, id uint64) {
	if t := l.n.takers[kind]; t == nil || !t.ends || !CanceledByCaller(ctx) {
		return
	}
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		return
	}
	l.q.push(&item{head: head{kind: abandon, id: id}})
	mine := l.mine()
	l.mu.Unlock()
	if mine {
		l.flush()
	}
}

// heeds gives the context of a call that may be abandoned. The result is called
// when the call is over.
func (l *link) heeds(id uint64) (ctx context.Context, over func()) {
	ctx, stop := context.WithCancel(l.n.g.Context())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		stop()
		return ctx, func() {}
	}
	if l.under == nil {
		l.under = map[uint64]context.CancelFunc{}
	}
	l.under[id] = stop
	return ctx, func() {
		l.mu.Lock()
		delete(l.under, id)
		l.mu.Unlock()
		stop()
	}
}

// abandoned takes the fellow's word that it waits no more for one of its calls.
func (l *link) abandoned(id uint64) {
	l.mu.Lock()
	stop := l.under[id]
	l.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// abandonAll ends what is under way for a fellow that no receipt can reach.
func (l *link) abandonAll() {
	l.mu.Lock()
	all := l.under
	l.under = nil
	l.mu.Unlock()
	for _, stop := range all {
		stop()
	}
}

// heeds is the same on a road: the context of a call that ends with the asker's.
func (n *Node) heeds(waits context.Context, from *Node, t *taker) (ctx context.Context, over func()) {
	ctx, stop := context.WithCancel(n.g.Context())
	if !t.ends {
		return ctx, stop
	}
	ctx = context.WithValue(ctx, askerKey{}, &asker{road: n.road, from: from, here: n})
	ignore := context.AfterFunc(waits, func() {
		if CanceledByCaller(waits) {
			stop()
		}
	})
	return ctx, func() {
		ignore()
		stop()
	}
}
