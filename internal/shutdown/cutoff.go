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
	ctx    context.Context
	cancel context.CancelFunc
}

// NewCutoff makes one of a process whose own context is given.
func NewCutoff(processContext context.Context) *Cutoff {
	cutoff := &Cutoff{}
	cutoff.ctx, cutoff.cancel = context.WithCancel(processContext)
	return cutoff
}

// Trigger ends all bound contexts, and those that are bound from now on.
func (c *Cutoff) Trigger() { c.cancel() }

// Bind gives a context that ends with another one, or with ErrLate as its cause.
// The result is called when the work is over.
func (c *Cutoff) Bind(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	unregister := context.AfterFunc(c.ctx, func() { cancel(ErrCutoff) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// IsCutoff tells that a context ended since a stop could wait no longer.
func IsCutoff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrCutoff) }
