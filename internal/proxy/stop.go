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
	x.e.Log.Emit(event.Stopping, "program", "proxy", "jobs", x.busy.Load())
	if !x.life.Fire("stop") {
		return
	}
	plan := shutdown.Begin(x.Settings.GracePeriod, x.Settings.GoodbyeTimeout())
	x.stop.Store(plan)
	// Large answers that wait for a thin link on their way here go first now.
	x.n.PrioritizeBulk()
	// What is under way and won't end in time may have its answer from elsewhere.
	x.notifyEnds(plan)
	x.attemptsWaitUntil(plan.WaitDeadline())
	ctx, end := context.WithDeadline(x.g.Context(), plan.WaitDeadline())
	defer end()
	// Callers learn from readiness, which the platform polls; until they had
	// the time to, this front goes on taking their jobs, and for as long as the
	// own worker runs some, since they may call others through it.
	// The own worker serves on meanwhile, and is flagged only so early that all
	// fronts have seen it when this node goes.
	task.Sleep(ctx, x.Settings.LeaveBound*3/4)
	x.left.Store(true)
	x.drainWorkers()
	task.Sleep(ctx, x.Settings.LeaveBound/2)
	x.rest(ctx, x.owned.Load)
	// From here on an answer ends its connection, and idle ones end now: no
	// caller sends into a connection that is about to go.
	x.door.SetKeepAlivesEnabled(false)
	x.life.Fire("shut")
	x.rest(ctx, func() int64 { return x.busy.Load() + x.owned.Load() + x.n.QueuedBulkLinks() })
	x.answerRest(plan)
	x.removeWorkers()
	x.touch.Close()
	x.n.CloseGracefully(x.Settings.GoodbyeTimeout())
	x.life.Fire("end")
	x.Kill()
	x.e.Log.Emit(event.Stopped, "program", "proxy", "after_ms", plan.Elapsed().Milliseconds())
}

// answerRest ends what can't be waited for any longer: each caller is told that the
// outcome is unknown, or that it did not run, rather than that its connection just
// ends, and so is each front whose attempt is at the own worker. Answers count as
// given once they are written.
func (x *Proxy) answerRest(plan *shutdown.Schedule) {
	x.late.Trigger()
	ctx, end := context.WithDeadline(x.g.Context(), plan.AnswerDeadline())
	defer end()
	x.rest(ctx, func() int64 { return x.busy.Load() + x.owned.Load() + x.stay.ActiveConns() })
}

// restStep is how often it is looked whether something is still under way.
const restStep = 10 * time.Millisecond

// rest waits until none of something is under way.
func (x *Proxy) rest(ctx context.Context, under func() int64) {
	for under() > 0 && ctx.Err() == nil {
		task.Sleep(ctx, restStep)
	}
}

// outlastsStop tells that a job is not begun, since this node was told to end a while
// ago and may be gone before the job's time is over: it would be broken off at work.
// Its caller may come back when the node has started again.
func (x *Proxy) outlastsStop(j *job) (come time.Duration, soon bool) {
	plan := x.stop.Load()
	if plan == nil || j.from.Before(plan.LongWorkDeadline()) || !j.end.After(plan.WaitDeadline()) {
		return 0, false
	}
	return max(time.Until(plan.End()), x.Settings.HeartbeatInterval()), true
}
