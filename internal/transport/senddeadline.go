package transport

import (
	"context"
	"time"
)

type sendDeadlineKey struct{}

// WithSendDeadline makes calls be taken back that have not gone out whole by a time: they
// certainly were not done then. What has gone out by then goes on to the
// context's own end.
func WithSendDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, sendDeadlineKey{}, deadline)
}

// sendDeadline gives what tells that the time has come, nil for a call without one.
func (i *queuedFrame) sendDeadline(ctx context.Context) (<-chan time.Time, func()) {
	deadline, ok := ctx.Value(sendDeadlineKey{}).(time.Time)
	if !ok {
		return nil, func() {}
	}
	i.sendWithin = max(time.Until(deadline), 1)
	timer := time.NewTimer(i.sendWithin)
	return timer.C, func() { timer.Stop() }
}

// withdrawOverdue takes back a call of ours that has not gone out whole yet; nil when
// it has.
func (l *link) withdrawOverdue(id uint64, call *pendingCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.item == nil || l.ended {
		return nil
	}
	delete(l.pending, id)
	l.withdraw(call)
	return l.fullError()
}
