package transport

import (
	"context"
	"time"
)

type sendDeadlineKey struct{}

// WithSendDeadline sets a deadline for writing calls: a call that was not written in full
// by then is withdrawn and was certainly not executed. One that was written waits until
// the context's own deadline.
func WithSendDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, sendDeadlineKey{}, deadline)
}

// sendDeadline returns a channel that fires at the send deadline, nil for a call without one.
func (i *queuedFrame) sendDeadline(ctx context.Context) (<-chan time.Time, func()) {
	deadline, ok := ctx.Value(sendDeadlineKey{}).(time.Time)
	if !ok {
		return nil, func() {}
	}
	i.sendWithin = max(time.Until(deadline), 1)
	timer := time.NewTimer(i.sendWithin)
	return timer.C, func() { timer.Stop() }
}

// withdrawOverdue withdraws a call that has not been written in full yet; it returns nil
// if it has been.
func (l *link) withdrawOverdue(id uint64, call *pendingCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.queued == nil || l.ended {
		return nil
	}
	delete(l.pending, id)
	l.withdraw(call)
	return l.fullError()
}
