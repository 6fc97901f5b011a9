package shutdown

import (
	"context"
	"errors"
)

// ErrLate is the cause with which contexts end when a stop can wait no longer.
// Whoever asked is still there, so nothing is abandoned by it.
var ErrLate = errors.New("the node is ending")

// Late ends what a stop can't wait for any longer.
type Late struct {
	ctx  context.Context
	over context.CancelFunc
}

// NewLate makes one of a process whose own context is given.
func NewLate(process context.Context) *Late {
	l := &Late{}
	l.ctx, l.over = context.WithCancel(process)
	return l
}

// Over ends all bound contexts, and those that are bound from now on.
func (l *Late) Over() { l.over() }

// Bind gives a context that ends with another one, or with ErrLate as its cause.
// The result is called when the work is over.
func (l *Late) Bind(of context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(of)
	ignore := context.AfterFunc(l.ctx, func() { cancel(ErrLate) })
	return ctx, func() {
		ignore()
		cancel(nil)
	}
}

// IsLate tells that a context ended since a stop could wait no longer.
func IsLate(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrLate) }
