package proxy

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/task"
)

// Stop shuts down gracefully: it withdraws readiness, gives peers time to notice, lets requests
// in progress finish, and then leaves the mesh. The schedule sets the end of each phase.
func (x *Proxy) Stop() {
	x.env.Log.Emit(event.Stopping, "program", "proxy", "jobs", x.activeRequests.Load())
	if !x.lifecycle.Fire("stop") {
		return
	}
	schedule := shutdown.Begin(x.Settings.GracePeriod, x.Settings.GoodbyeTimeout())
	x.stopSchedule.Store(schedule)
	// Large responses that wait at peers for a slow link to this node are sent first from now
	// on.
	x.node.PrioritizeBulk()
	// Ingresses may hedge attempts that will not finish here in time.
	x.notifyRunEnds(schedule)
	x.notifyAttemptsOfStop(schedule.WaitDeadline())
	ctx, cancel := context.WithDeadline(x.group.Context(), schedule.WaitDeadline())
	defer cancel()
	// Callers learn of the shutdown from the readiness probe, which the platform polls. Until
	// they had time to, this ingress goes on accepting their requests, and longer while the
	// local worker runs some, since those may make calls through it. The worker serves on
	// meanwhile; it is marked as draining only early enough for all ingresses to see the mark
	// before this node goes.
	task.Sleep(ctx, x.Settings.LeaveBound*3/4)
	x.workersLeaving.Store(true)
	x.drainWorkers()
	task.Sleep(ctx, x.Settings.LeaveBound/2)
	x.waitForNone(ctx, x.activeAttempts.Load)
	// From here on each response closes its connection and idle connections close now, so that
	// no caller sends into a connection that is about to close.
	x.trafficServer.SetKeepAlivesEnabled(false)
	x.lifecycle.Fire("shut")
	x.waitForNone(ctx, func() int64 { return x.activeRequests.Load() + x.activeAttempts.Load() + x.node.QueuedBulkLinks() })
	x.answerRemaining(schedule)
	x.removeWorkers()
	x.control.Close()
	x.node.CloseGracefully(x.Settings.GoodbyeTimeout())
	x.lifecycle.Fire("end")
	x.Kill()
	x.env.Log.Emit(event.Stopped, "program", "proxy", "after_ms", schedule.Elapsed().Milliseconds())
}

// answerRemaining ends what can no longer be waited for. Each caller gets a response saying
// that the outcome is unknown or that the request did not run, instead of a closed connection;
// so does each ingress with an attempt at the local worker. Responses count as given once they
// are written.
func (x *Proxy) answerRemaining(schedule *shutdown.Schedule) {
	x.cutoff.Trigger()
	ctx, cancel := context.WithDeadline(x.group.Context(), schedule.AnswerDeadline())
	defer cancel()
	x.waitForNone(ctx, func() int64 { return x.activeRequests.Load() + x.activeAttempts.Load() + x.connLimits.ActiveConns() })
}

// drainPollInterval is how often the counts of work in progress are polled.
const drainPollInterval = 10 * time.Millisecond

// waitForNone waits until the count is 0 or the context ends.
func (x *Proxy) waitForNone(ctx context.Context, active func() int64) {
	for active() > 0 && ctx.Err() == nil {
		task.Sleep(ctx, drainPollInterval)
	}
}

// outlastsStop tells whether a request must not be started because the stop signal came a while
// ago and this node may end before the request's deadline, which would break it off in the
// middle. Its caller may come back when the node has started again.
func (x *Proxy) outlastsStop(req *request) (retryAfter time.Duration, ending bool) {
	schedule := x.stopSchedule.Load()
	if schedule == nil || req.receivedAt.Before(schedule.LongWorkDeadline()) || !req.deadline.After(schedule.WaitDeadline()) {
		return 0, false
	}
	return max(time.Until(schedule.End()), x.Settings.HeartbeatInterval()), true
}
