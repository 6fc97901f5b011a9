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
	mu   sync.Mutex
	byID map[string]context.Context // attempt to the context of its call
}

// trackRemoteRun notes an attempt of another front until the result is called.
func (x *Proxy) trackRemoteRun(ctx context.Context, in *protocol.AttemptRequest) (untrack func()) {
	if !in.Repeatable {
		return func() {}
	}
	x.remoteRuns.mu.Lock()
	x.remoteRuns.byID[in.AttemptID] = ctx
	x.remoteRuns.mu.Unlock()
	if schedule := x.stopSchedule.Load(); schedule != nil {
		notifyRunEnd(ctx, in.AttemptID, schedule)
	}
	return func() {
		x.remoteRuns.mu.Lock()
		delete(x.remoteRuns.byID, in.AttemptID)
		x.remoteRuns.mu.Unlock()
	}
}

// notifyRunEnds tells the fronts of all attempts under way that this node ends.
func (x *Proxy) notifyRunEnds(schedule *shutdown.Schedule) {
	x.remoteRuns.mu.Lock()
	defer x.remoteRuns.mu.Unlock()
	for attempt, ctx := range x.remoteRuns.byID {
		notifyRunEnd(ctx, attempt, schedule)
	}
}

// notifyRunEnd tells one front. A loss is no fault: it hears of the end when it comes.
func notifyRunEnd(ctx context.Context, attempt string, schedule *shutdown.Schedule) {
	_ = transport.Notify(ctx, protocol.RunEndNoticeKind, protocol.RunEndNotice{AttemptID: attempt, RemainingMS: max(schedule.RemainingWait().Milliseconds(), 0)})
}

// onRunEndNotice takes in that the node beside a worker ends the run of an attempt.
func (x *Proxy) onRunEndNotice(_ context.Context, _ transport.Hello, in protocol.RunEndNotice) (struct{}, error) {
	x.ingressAttempts.mu.Lock()
	a := x.ingressAttempts.byID[in.AttemptID]
	x.ingressAttempts.mu.Unlock()
	if a != nil {
		a.onRunEnd(time.Now().Add(time.Duration(in.RemainingMS) * time.Millisecond))
	}
	return struct{}{}, nil
}
