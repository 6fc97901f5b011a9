package transport

import (
	"context"
	"time"
)

type dueKey struct{}

// WithSendDeadline makes calls be taken back that have not gone out whole by a time: they
// certainly were not done then. What has gone out by then goes on to the
// context's own end.
func WithSendDeadline(ctx context.Context, by time.Time) context.Context {
	return context.WithValue(ctx, dueKey{}, by)
}

// due gives what tells that the time has come, nil for a call without one.
func (i *item) due(ctx context.Context) (<-chan time.Time, func()) {
	by, ok := ctx.Value(dueKey{}).(time.Time)
	if !ok {
		return nil, func() {}
	}
	i.soon = max(time.Until(by), 1)
	t := time.NewTimer(i.soon)
	return t.C, func() { t.Stop() }
}

// overdue takes back a call of ours that has not gone out whole yet; nil when
// it has.
func (l *link) overdue(id uint64, t *turn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.item == nil || l.over {
		return nil
	}
	delete(l.wait, id)
	l.recall(t)
	return l.stuffed()
}
