package shutdown

import (
	"context"
	"errors"
)

// ErrCutoff is the cause with which contexts end when a stop can wait no longer.
// Whoever asked is still there, so nothing is abandoned by it.
var ErrCutoff = errors.New("the node is ending")

// Cutoff ends what a stop can't wait for any longer.
type Cutoff struct {
	ctx  context.Context
	over context.CancelFunc
}

// NewCutoff makes one of a process whose own context is given.
func NewCutoff(process context.Context) *Cutoff {
	l := &Cutoff{}
	l.ctx, l.over = context.WithCancel(process)
	return l
}

// Trigger ends all bound contexts, and those that are bound from now on.
func (l *Cutoff) Trigger() { l.over() }

// Bind gives a context that ends with another one, or with ErrLate as its cause.
// The result is called when the work is over.
func (l *Cutoff) Bind(of context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(of)
	ignore := context.AfterFunc(l.ctx, func() { cancel(ErrCutoff) })
	return ctx, func() {
		ignore()
		cancel(nil)
	}
}

// IsCutoff tells that a context ended since a stop could wait no longer.
func IsCutoff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrCutoff) }
