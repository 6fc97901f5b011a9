package proxy

import (
	"context"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/task"
)

// queueWaitBound is how long a job of this front may wait for a slot at most. A node that
// is told to end has its grace to answer all that it took; one that waits longer
// than that, at a worker that never had it, would see its connection cut. What
// was handed over before the order is bounded as well, so that it is refused
// before this node goes, too.
func (x *Proxy) queueWaitBound() time.Duration {
	most := x.Settings.GracePeriod * 6 / 10
	if plan := x.stop.Load(); plan != nil {
		most = min(most, plan.RemainingWait()-x.Settings.GoodbyeTimeout())
	}
	return max(most, time.Millisecond)
}

// isEnding tells that this node goes so soon that nothing more is begun for a job.
func (x *Proxy) isEnding() bool {
	plan := x.stop.Load()
	return plan != nil && plan.RemainingWait() <= 0
}

// boundRequeue bounds how long a job that waited elsewhere already may wait at its next
// worker: half of its time, all workers together. Queued anew for half of what
// is left each time, one that is given up would be held for seven eighths of its
// time. What has waited that long takes a slot that is free, or none; but not one that
// has lost a run, and can't be told that it did not run.
func (j *job) boundRequeue(h *protocol.AttemptRequest) {
	if j.waited == 0 || h.AllowUnfinishedRun {
		return
	}
	h.QueueBudgetMS = (j.end.Sub(j.from)/2 - j.waited).Milliseconds()
	if h.QueueBudgetMS <= 0 {
		h.QueueBudgetMS, h.NoQueue = 0, true
	}
}

// waitLeft is how long this front goes on waiting for answers, in ms and at least 1,
// once it was told to end; 0 as long as it was not.
func (x *Proxy) waitLeft() int64 {
	plan := x.stop.Load()
	if plan == nil {
		return 0
	}
	return max(plan.RemainingWait().Milliseconds(), 1)
}

// needs is the time to allow for an attempt: by what such requests take at this worker,
// else by what its front says that they take; 0 when neither is known.
func (v *visit) needs() time.Duration {
	told := time.Duration(v.in.UsualRunMS) * time.Millisecond
	return v.gate.need(v.in.Route, told*3/2)
}

// slackBeforeEnd is how long an attempt may wait that its front, which was told to end, or
// this node waits for no longer than until some time: by what such requests take it is
// answered before then. Begun later, it would be broken off at work.
// False for all other attempts.
func (x *Proxy) slackBeforeEnd(v *visit) (wait time.Duration, ends bool) {
	need := v.needs()
	if !v.last.IsZero() {
		wait, ends = time.Until(v.last)-need, true
	}
	plan := x.stop.Load()
	if plan == nil {
		return wait, ends
	}
	// Other nodes can have it still, so here it must be all but certain.
	own := plan.RemainingWait() - 2*need
	if need == 0 {
		own = 0
	}
	if !ends || own < wait {
		wait, ends = own, true
	}
	return wait, ends
}

// endsInTime refuses an attempt that can't be answered before its front or this node goes;
// another may have it. One whose request has lost a run, or will, is begun all the same
// where only its front goes, or where nobody else took it: a run that may not end in
// time is better than none.
func (x *Proxy) endsInTime(v *visit) bool {
	wait, ends := x.slackBeforeEnd(v)
	if !ends || wait > 0 {
		return true
	}
	if v.in.AllowUnfinishedRun && x.mayStillEnd(v) {
		return true
	}
	return v.later("a node on its way ends before it would be done", x.Settings.HeartbeatInterval())
}

// mayStillEnd tells that an attempt has some time, if less than such requests usually take,
// before its front or this node goes.
func (x *Proxy) mayStillEnd(v *visit) bool { return x.leftBeforeEnd(v) > x.Settings.GoodbyeTimeout() }

// leftBeforeEnd is how long a lost request's attempt has until its front or this node
// goes; none at a node that ends as long as others may take it.
func (x *Proxy) leftBeforeEnd(v *visit) time.Duration {
	left := x.Settings.GracePeriod
	if !v.last.IsZero() {
		left = time.Until(v.last)
	}
	if plan := x.stop.Load(); plan != nil {
		if !v.in.AllowStoppingNode {
			return 0
		}
		left = min(left, plan.RemainingWait())
	}
	return left
}

// lostWaitPart is, as a divisor of the time until its front or this node goes, how long
// the attempt of a lost request waits for a slot where it may not end in time anyway.
const lostWaitPart = 4

// queueWait is how long an attempt waits for a slot: as long as it can then
// still be answered inside its aim, by what jobs of its path take here, and
// half of the time left at most, so that it can be tried elsewhere. One that
// will be late whatever is done waits a part of its time, after those that need
// not be.
func (x *Proxy) queueWait(v *visit) time.Duration {
	wait := v.usualQueueWait()
	for _, ms := range []int64{v.in.MaxQueueMS, v.in.QueueBudgetMS} {
		if ms > 0 {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
	}
	if most, ends := x.slackBeforeEnd(v); ends {
		if v.in.AllowUnfinishedRun {
			most = max(most, x.leftBeforeEnd(v)/lostWaitPart)
		}
		wait = min(wait, max(most, 0))
	}
	return wait
}

// rank is what a job's turn goes by before all else: what it is still worth to
// be served. A slot serves one job either way.
func (v *visit) rank() int {
	switch left := time.Until(v.end); {
	case v.in.AllowUnfinishedRun:
		return -1 // a run of it is lost
	case time.Duration(v.in.TargetMS)*time.Millisecond <= v.gate.need(v.in.Route, left/4)*2/3:
		return 2 // it would be late, by what jobs of its path take here
	case v.in.ResentByCaller:
		return 1 // a part of its aim is lost
	}
	return 0
}

// usualQueueWait is the same without the front's own bounds.
func (v *visit) usualQueueWait() time.Duration {
	left := time.Until(v.end)
	need := v.gate.need(v.in.Route, left/4)
	if slack := time.Duration(v.in.TargetMS)*time.Millisecond - need; slack > 0 {
		return min(left/2, slack)
	}
	return max(min(left/4, left-need), 0)
}

// pauseForLost is the pause before a lost request turns to workers anew that had no room,
// by when they said that they may have some. Room that comes sooner must not be missed.
func (x *Proxy) pauseForLost(come time.Duration) time.Duration {
	return min(max(come, x.Settings.HeartbeatInterval()/2), 2*x.Settings.HeartbeatInterval())
}

// persists tells that a request goes on to look for a worker, after a pause: this node
// was told to end, and the request has lost the run that it had. Its caller can't come
// back here, and workers whose slots are taken now may have one before this node goes.
func (x *Proxy) persists(ctx context.Context, j *job) bool {
	if j.lost == nil || j.hedged || !j.arm.Repeatable || j.back.Outcome == protocol.Done || j.came >= j.arm.MaxAttempts || x.stop.Load() == nil || x.isEnding() {
		return false
	}
	if j.back.ConfigMismatch {
		x.rematch(ctx, j)
	}
	task.Sleep(ctx, x.pauseForLost(j.come))
	if ctx.Err() != nil || x.isEnding() || !time.Now().Before(j.end) {
		return false
	}
	j.any = true
	// Only those at which it was lost are left out now.
	j.tried = map[string]bool{j.lost.entry.Worker: true}
	j.looks, j.passed = 0, nil
	return true
}
