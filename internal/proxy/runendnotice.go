package proxy

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
)

// remoteRuns are the repeatable attempts of other ingresses in progress at the local worker. On
// the stop signal this node tells each ingress when it ends their runs, so that an ingress can
// act before the run is lost.
type remoteRuns struct {
	mu   sync.Mutex
	byID map[string]context.Context // attempt ID to the context of its call
}

// trackRemoteRun keeps an attempt of another ingress until the returned function is called.
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

// notifyRunEnds tells the ingresses of all attempts in progress that this node shuts down.
func (x *Proxy) notifyRunEnds(schedule *shutdown.Schedule) {
	x.remoteRuns.mu.Lock()
	defer x.remoteRuns.mu.Unlock()
	for attempt, ctx := range x.remoteRuns.byID {
		notifyRunEnd(ctx, attempt, schedule)
	}
}

// notifyRunEnd tells one ingress. If the notice is lost, the ingress learns of the end when the
// run ends.
func notifyRunEnd(ctx context.Context, attempt string, schedule *shutdown.Schedule) {
	_ = transport.Notify(ctx, protocol.RunEndNoticeKind, protocol.RunEndNotice{AttemptID: attempt, RemainingMS: max(schedule.RemainingWait().Milliseconds(), 0)})
}

// onRunEndNotice handles an owner's notice of when it ends the run of an attempt.
func (x *Proxy) onRunEndNotice(_ context.Context, _ transport.Hello, in protocol.RunEndNotice) (struct{}, error) {
	x.ingressAttempts.mu.Lock()
	attempt := x.ingressAttempts.byID[in.AttemptID]
	x.ingressAttempts.mu.Unlock()
	if attempt != nil {
		attempt.onRunEnd(time.Now().Add(time.Duration(in.RemainingMS) * time.Millisecond))
	}
	return struct{}{}, nil
}
