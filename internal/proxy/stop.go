package proxy

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/task"
)

// Stop ends politely: readiness falls, fellows get the time to notice, jobs
// under way end, then the node signs off. When which of these is over stands in
// its schedule.
func (x *Proxy) Stop() {
	x.env.Log.Emit(event.Stopping, "program", "proxy", "jobs", x.activeRequests.Load())
	if !x.lifecycle.Fire("stop") {
		return
	}
	schedule := shutdown.Begin(x.Settings.GracePeriod, x.Settings.FarewellTimeout())
	x.stopSchedule.Store(schedule)
	// Large answers that wait for a thin link on their way here go first now.
	x.node.PrioritizeBulk()
	// What is under way and won't end in time may have its answer from elsewhere.
	x.notifyRunEnds(schedule)
	x.notifyAttemptsOfStop(schedule.WaitDeadline())
	ctx, cancel := context.WithDeadline(x.group.Context(), schedule.WaitDeadline())
	defer cancel()
	// Callers learn from readiness, which the platform polls; until they had
	// the time to, this front goes on taking their jobs, and for as long as the
	// own worker runs some, since they may call others through it.
	// The own worker serves on meanwhile, and is flagged only so early that all
	// fronts have seen it when this node goes.
	task.Sleep(ctx, x.Settings.LeaveBound*3/4)
	x.workersLeaving.Store(true)
	x.drainWorkers()
	task.Sleep(ctx, x.Settings.LeaveBound/2)
	x.waitForNone(ctx, x.activeAttempts.Load)
	// From here on an answer ends its connection, and idle ones end now: no
	// caller sends into a connection that is about to go.
	x.trafficServer.SetKeepAlivesEnabled(false)
	x.lifecycle.Fire("shut")
	x.waitForNone(ctx, func() int64 { return x.activeRequests.Load() + x.activeAttempts.Load() + x.node.QueuedBulkLinks() })
	x.answerRemaining(schedule)
	x.removeWorkers()
	x.control.Close()
	x.node.CloseGracefully(x.Settings.FarewellTimeout())
	x.lifecycle.Fire("end")
	x.Kill()
	x.env.Log.Emit(event.Stopped, "program", "proxy", "after_ms", schedule.Elapsed().Milliseconds())
}

// answerRemaining ends what can't be waited for any longer: each caller is told that the
// outcome is unknown, or that it did not run, rather than that its connection just
// ends, and so is each front whose attempt is at the own worker. Answers count as
// given once they are written.
func (x *Proxy) answerRemaining(schedule *shutdown.Schedule) {
	x.cutoff.Trigger()
	ctx, cancel := context.WithDeadline(x.group.Context(), schedule.AnswerDeadline())
	defer cancel()
	x.waitForNone(ctx, func() int64 { return x.activeRequests.Load() + x.activeAttempts.Load() + x.connLimits.ActiveConns() })
}

// drainPollInterval is how often it is looked whether something is still under way.
const drainPollInterval = 10 * time.Millisecond

// waitForNone waits until none of something is under way.
func (x *Proxy) waitForNone(ctx context.Context, active func() int64) {
	for active() > 0 && ctx.Err() == nil {
		task.Sleep(ctx, drainPollInterval)
	}
}

// outlastsStop tells that a job is not begun, since this node was told to end a while
// ago and may be gone before the job's time is over: it would be broken off at work.
// Its caller may come back when the node has started again.
func (x *Proxy) outlastsStop(req *request) (retryAfter time.Duration, ending bool) {
	schedule := x.stopSchedule.Load()
	if schedule == nil || req.receivedAt.Before(schedule.LongWorkDeadline()) || !req.deadline.After(schedule.WaitDeadline()) {
		return 0, false
	}
	return max(time.Until(schedule.End()), x.Settings.HeartbeatInterval()), true
}
