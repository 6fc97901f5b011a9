package proxy

import (
	"context"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/task"
)

// maxQueueWait is how long a job of this front may wait for a slot at most. A node that
// is told to end has its grace to answer all that it took; one that waits longer
// than that, at a worker that never had it, would see its connection cut. What
// was handed over before the order is bounded as well, so that it is refused
// before this node goes, too.
func (x *Proxy) maxQueueWait() time.Duration {
	limit := x.Settings.GracePeriod * 6 / 10
	if schedule := x.stopSchedule.Load(); schedule != nil {
		limit = min(limit, schedule.RemainingWait()-x.Settings.FarewellTimeout())
	}
	return max(limit, time.Millisecond)
}

// isEnding tells that this node goes so soon that nothing more is begun for a job.
func (x *Proxy) isEnding() bool {
	schedule := x.stopSchedule.Load()
	return schedule != nil && schedule.RemainingWait() <= 0
}

// limitRequeue bounds how long a job that waited elsewhere already may wait at its next
// worker: half of its time, all workers together. Queued anew for half of what
// is left each time, one that is given up would be held for seven eighths of its
// time. What has waited that long takes a slot that is free, or none; but not one that
// has lost a run, and can't be told that it did not run.
func (req *request) limitRequeue(out *protocol.AttemptRequest) {
	if req.undeliveredTime == 0 || out.AllowUnfinishedRun {
		return
	}
	out.QueueBudgetMS = (req.deadline.Sub(req.receivedAt)/2 - req.undeliveredTime).Milliseconds()
	if out.QueueBudgetMS <= 0 {
		out.QueueBudgetMS, out.NoQueue = 0, true
	}
}

// remainingWaitMS is how long this front goes on waiting for answers, in ms and at least 1,
// once it was told to end; 0 as long as it was not.
func (x *Proxy) remainingWaitMS() int64 {
	schedule := x.stopSchedule.Load()
	if schedule == nil {
		return 0
	}
	return max(schedule.RemainingWait().Milliseconds(), 1)
}

// timeNeeded is the time to allow for an attempt: by what such requests take at this worker,
// else by what its front says that they take; 0 when neither is known.
func (v *ownerAttempt) timeNeeded() time.Duration {
	reported := time.Duration(v.req.UsualRunMS) * time.Millisecond
	return v.worker.timeNeeded(v.req.Route, reported*3/2)
}

// slackBeforeEnd is how long an attempt may wait that its front, which was told to end, or
// this node waits for no longer than until some time: by what such requests take it is
// answered before then. Begun later, it would be broken off at work.
// False for all other attempts.
func (x *Proxy) slackBeforeEnd(attempt *ownerAttempt) (wait time.Duration, ends bool) {
	needed := attempt.timeNeeded()
	if !attempt.ingressDeadline.IsZero() {
		wait, ends = time.Until(attempt.ingressDeadline)-needed, true
	}
	schedule := x.stopSchedule.Load()
	if schedule == nil {
		return wait, ends
	}
	// Other nodes can have it still, so here it must be all but certain.
	local := schedule.RemainingWait() - 2*needed
	if needed == 0 {
		local = 0
	}
	if !ends || local < wait {
		wait, ends = local, true
	}
	return wait, ends
}

// endsInTime refuses an attempt that can't be answered before its front or this node goes;
// another may have it. One whose request has lost a run, or will, is begun all the same
// where only its front goes, or where nobody else took it: a run that may not end in
// time is better than none.
func (x *Proxy) endsInTime(attempt *ownerAttempt) bool {
	wait, ends := x.slackBeforeEnd(attempt)
	if !ends || wait > 0 {
		return true
	}
	if attempt.req.AllowUnfinishedRun && x.mayStillEnd(attempt) {
		return true
	}
	return attempt.refuseRetryAfter("a node on its way ends before it would be done", x.Settings.HeartbeatInterval())
}

// mayStillEnd tells that an attempt has some time, if less than such requests usually take,
// before its front or this node goes.
func (x *Proxy) mayStillEnd(attempt *ownerAttempt) bool {
	return x.remainingBeforeEnd(attempt) > x.Settings.FarewellTimeout()
}

// remainingBeforeEnd is how long a lost request's attempt has until its front or this node
// goes; none at a node that ends as long as others may take it.
func (x *Proxy) remainingBeforeEnd(attempt *ownerAttempt) time.Duration {
	remaining := x.Settings.GracePeriod
	if !attempt.ingressDeadline.IsZero() {
		remaining = time.Until(attempt.ingressDeadline)
	}
	if schedule := x.stopSchedule.Load(); schedule != nil {
		if !attempt.req.AllowEndingNode {
			return 0
		}
		remaining = min(remaining, schedule.RemainingWait())
	}
	return remaining
}

// lostWaitDivisor is, as a divisor of the time until its front or this node goes, how long
// the attempt of a lost request waits for a slot where it may not end in time anyway.
const lostWaitDivisor = 4

// queueWait is how long an attempt waits for a slot: as long as it can then
// still be answered inside its aim, by what jobs of its path take here, and
// half of the time left at most, so that it can be tried elsewhere. One that
// will be late whatever is done waits a part of its time, after those that need
// not be.
func (x *Proxy) queueWait(attempt *ownerAttempt) time.Duration {
	wait := attempt.usualQueueWait()
	for _, ms := range []int64{attempt.req.MaxQueueMS, attempt.req.QueueBudgetMS} {
		if ms > 0 {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
	}
	if slack, ends := x.slackBeforeEnd(attempt); ends {
		if attempt.req.AllowUnfinishedRun {
			slack = max(slack, x.remainingBeforeEnd(attempt)/lostWaitDivisor)
		}
		wait = min(wait, max(slack, 0))
	}
	return wait
}

// priority is what a job's turn goes by before all else: what it is still worth to
// be served. A slot serves one job either way.
func (v *ownerAttempt) priority() int {
	switch remaining := time.Until(v.deadline); {
	case v.req.AllowUnfinishedRun:
		return -1 // a run of it is lost
	case time.Duration(v.req.TargetMS)*time.Millisecond <= v.worker.timeNeeded(v.req.Route, remaining/4)*2/3:
		return 2 // it would be late, by what jobs of its path take here
	case v.req.SentAgainByCaller:
		return 1 // a part of its aim is lost
	}
	return 0
}

// usualQueueWait is the same without the front's own bounds.
func (v *ownerAttempt) usualQueueWait() time.Duration {
	remaining := time.Until(v.deadline)
	needed := v.worker.timeNeeded(v.req.Route, remaining/4)
	if slack := time.Duration(v.req.TargetMS)*time.Millisecond - needed; slack > 0 {
		return min(remaining/2, slack)
	}
	return max(min(remaining/4, remaining-needed), 0)
}

// lostRetryPause is the pause before a lost request turns to workers anew that had no room,
// by when they said that they may have some. Room that comes sooner must not be missed.
func (x *Proxy) lostRetryPause(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, x.Settings.HeartbeatInterval()/2), 2*x.Settings.HeartbeatInterval())
}

// keepsTrying tells that a request goes on to look for a worker, after a pause: this node
// was told to end, and the request has lost the run that it had. Its caller can't come
// back here, and workers whose slots are taken now may have one before this node goes.
func (x *Proxy) keepsTrying(ctx context.Context, req *request) bool {
	if req.lost == nil || req.isHedge || !req.arm.Repeatable || req.result.Outcome == protocol.Done || req.reached >= req.arm.Tries || x.stopSchedule.Load() == nil || x.isEnding() {
		return false
	}
	if req.result.ConfigMismatch {
		x.resolveMismatch(ctx, req)
	}
	task.Sleep(ctx, x.lostRetryPause(req.retryAfter))
	if ctx.Err() != nil || x.isEnding() || !time.Now().Before(req.deadline) {
		return false
	}
	req.allowEndingNode = true
	// Only those at which it was lost are left out now.
	req.tried = map[string]bool{req.lost.entry.Worker: true}
	req.lookups, req.skipped = 0, nil
	return true
}
