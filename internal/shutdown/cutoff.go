package shutdown

import (
	"context"
	"errors"
)

// ErrCutoff is the cause of contexts that are canceled because a shutdown can wait
// no longer. The caller is still there, so the request was not abandoned.
var ErrCutoff = errors.New("shutdown cannot wait any longer")

// Cutoff cancels work that a shutdown cannot wait for any longer.
type Cutoff struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// NewCutoff returns a Cutoff that also triggers when the process's own context
// ends.
func NewCutoff(processContext context.Context) *Cutoff {
	cutoff := &Cutoff{}
	cutoff.ctx, cutoff.cancel = context.WithCancel(processContext)
	return cutoff
}

// Trigger cancels all bound contexts, and those that are bound from now on.
func (c *Cutoff) Trigger() { c.cancel() }

// Bind returns a context that ends with its parent, or with ErrCutoff as its cause
// when the Cutoff triggers. stop must be called when the work is over.
func (c *Cutoff) Bind(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	unregister := context.AfterFunc(c.ctx, func() { cancel(ErrCutoff) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// IsCutoff reports whether a context ended because a shutdown could wait no longer.
func IsCutoff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrCutoff) }
