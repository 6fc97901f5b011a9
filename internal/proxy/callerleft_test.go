package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/shutdown"
)

// TestNotStartedWithoutCaller checks the last look before a request goes to the worker, after
// waits for a slot, a connection or a configuration: nothing starts for a caller that left, or
// that got its response because its node is ending. A context canceled for another reason does
// not prevent the start.
func TestNotStartedWithoutCaller(t *testing.T) {
	x := &Proxy{}
	for _, c := range []struct {
		name string
		end  func(ctx context.Context) context.Context
		runs bool
	}{
		{"the caller waits", func(ctx context.Context) context.Context { return ctx }, true},
		{"the caller left", func(ctx context.Context) context.Context {
			ctx, stop := context.WithCancel(ctx)
			stop()
			return ctx
		}, false},
		{"a node is shutting down", func(ctx context.Context) context.Context {
			ctx, stop := context.WithCancelCause(ctx)
			stop(shutdown.ErrCutoff)
			return ctx
		}, false},
		{"canceled for another reason", func(ctx context.Context) context.Context {
			ctx, stop := context.WithCancelCause(ctx)
			stop(errors.New("another"))
			return ctx
		}, true},
	} {
		attempt := &ownerAttempt{req: protocol.AttemptRequest{WorkerAttemptID: "r"}, deadline: time.Now().Add(time.Minute)}
		if got := x.stillWanted(c.end(t.Context()), attempt); got != c.runs {
			t.Errorf("%s: started %v", c.name, got)
		}
		if !c.runs && attempt.result.Outcome != protocol.Refused {
			t.Errorf("%s: result %+v", c.name, attempt.result)
		}
	}
}
