package proxy

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
)

// remoteRuns are the attempts of other fronts under way at the own worker that may be
// repeated. When this node is told to end, their fronts are told by when it ends the
// runs, so that they need not wait until they are lost.
type remoteRuns struct {
	mu sync.Mutex
	by map[string]context.Context // attempt to the context of its call
}

// noteRemote notes an attempt of another front until the result is called.
func (x *Proxy) noteRemote(ctx context.Context, in *protocol.AttemptRequest) (over func()) {
	if !in.Repeatable {
		return func() {}
	}
	x.remote.mu.Lock()
	x.remote.by[in.AttemptID] = ctx
	x.remote.mu.Unlock()
	if plan := x.stop.Load(); plan != nil {
		notifyEnd(ctx, in.AttemptID, plan)
	}
	return func() {
		x.remote.mu.Lock()
		delete(x.remote.by, in.AttemptID)
		x.remote.mu.Unlock()
	}
}

// notifyEnds tells the fronts of all attempts under way that this node ends.
func (x *Proxy) notifyEnds(plan *shutdown.Schedule) {
	x.remote.mu.Lock()
	defer x.remote.mu.Unlock()
	for attempt, ctx := range x.remote.by {
		notifyEnd(ctx, attempt, plan)
	}
}

// notifyEnd tells one front. A loss is no fault: it hears of the end when it comes.
func notifyEnd(ctx context.Context, attempt string, plan *shutdown.Schedule) {
	_ = transport.Notify(ctx, protocol.RunEndNoticeKind, protocol.RunEndNotice{AttemptID: attempt, RemainingMS: max(plan.RemainingWait().Milliseconds(), 0)})
}

// onRunEnds takes in that the node beside a worker ends the run of an attempt.
func (x *Proxy) onRunEnds(_ context.Context, _ transport.Hello, in protocol.RunEndNotice) (struct{}, error) {
	x.attempts.mu.Lock()
	a := x.attempts.by[in.AttemptID]
	x.attempts.mu.Unlock()
	if a != nil {
		a.endsAt(time.Now().Add(time.Duration(in.RemainingMS) * time.Millisecond))
	}
	return struct{}{}, nil
}
