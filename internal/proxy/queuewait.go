package proxy

import (
	"context"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/task"
)

// maxQueueWait bounds how long a request of this ingress may wait for a slot. After the stop
// signal a node has its grace period to answer everything it accepted; a request that waited
// longer than that at a worker, without ever running, would see its connection closed. The
// bound also holds for attempts sent before the stop signal, so that these are refused before
// this node ends, too.
func (x *Proxy) maxQueueWait() time.Duration {
	limit := x.Settings.GracePeriod * 6 / 10
	if schedule := x.stopSchedule.Load(); schedule != nil {
		limit = min(limit, schedule.RemainingWait()-x.Settings.GoodbyeTimeout())
	}
	return max(limit, time.Millisecond)
}

// isEnding tells whether this node ends so soon that nothing more is started for a request.
func (x *Proxy) isEnding() bool {
	schedule := x.stopSchedule.Load()
	return schedule != nil && schedule.RemainingWait() <= 0
}

// limitRequeue bounds how long a request that already waited elsewhere may wait at its next
// worker: half of its time for all workers together. If it queued again for half of the
// remaining time each time, a request that is refused in the end would be held for seven
// eighths of its time. Once that half is used up it takes only a slot that is free. A request
// that has lost a run is exempt, since its caller can't be told that it did not run.
func (req *request) limitRequeue(out *protocol.AttemptRequest) {
	if req.undeliveredTime == 0 || out.AllowUnfinishedRun {
		return
	}
	out.QueueBudgetMS = (req.deadline.Sub(req.receivedAt)/2 - req.undeliveredTime).Milliseconds()
	if out.QueueBudgetMS <= 0 {
		out.QueueBudgetMS, out.NoQueue = 0, true
	}
}

// remainingWaitMS is how long this ingress will still wait for responses after the stop signal,
// at least 1 ms; 0 without a stop signal.
func (x *Proxy) remainingWaitMS() int64 {
	schedule := x.stopSchedule.Load()
	if schedule == nil {
		return 0
	}
	return max(schedule.RemainingWait().Milliseconds(), 1)
}

// timeNeeded estimates the run time of an attempt: from runs of the route at this worker, else
// from what the ingress reports; 0 when neither is known.
func (a *ownerAttempt) timeNeeded() time.Duration {
	reported := time.Duration(a.req.UsualRunMS) * time.Millisecond
	return a.worker.timeNeeded(a.req.Route, reported*3/2)
}

// slackBeforeEnd is how long an attempt may queue and still be answered, by the usual run time,
// while its ingress or this node waits for it after a stop signal. Started later, it would be
// broken off in the middle. It returns false if neither is shutting down.
func (x *Proxy) slackBeforeEnd(attempt *ownerAttempt) (wait time.Duration, ends bool) {
	needed := attempt.timeNeeded()
	if !attempt.ingressDeadline.IsZero() {
		wait, ends = time.Until(attempt.ingressDeadline)-needed, true
	}
	schedule := x.stopSchedule.Load()
	if schedule == nil {
		return wait, ends
	}
	// Other nodes can still run it, so it must be almost certain to finish here.
	local := schedule.RemainingWait() - 2*needed
	if needed == 0 {
		local = 0
	}
	if !ends || local < wait {
		wait, ends = local, true
	}
	return wait, ends
}

// checkEndsInTime refuses an attempt that can't be answered before its ingress or this node ends;
// another node may run it. If the request has lost a run, or will lose it, it is started all
// the same where only its ingress ends, or where no other worker took it: a run that may not
// finish in time is better than none.
func (x *Proxy) checkEndsInTime(attempt *ownerAttempt) bool {
	wait, ends := x.slackBeforeEnd(attempt)
	if !ends || wait > 0 {
		return true
	}
	if attempt.req.AllowUnfinishedRun && x.mayFinish(attempt) {
		return true
	}
	return attempt.refuseRetryAfter("a node on its way ends before it would be done", x.Settings.HeartbeatInterval())
}

// mayFinish tells whether an attempt has some time, even if less than usually needed, before
// its ingress or this node ends.
func (x *Proxy) mayFinish(attempt *ownerAttempt) bool {
	return x.remainingBeforeEnd(attempt) > x.Settings.GoodbyeTimeout()
}

// remainingBeforeEnd is how long the attempt of a request with a lost run has until its ingress
// or this node ends. It is 0 at a node that is shutting down, as long as other nodes may take
// the attempt.
func (x *Proxy) remainingBeforeEnd(attempt *ownerAttempt) time.Duration {
	remaining := x.Settings.GracePeriod
	if !attempt.ingressDeadline.IsZero() {
		remaining = time.Until(attempt.ingressDeadline)
	}
	if schedule := x.stopSchedule.Load(); schedule != nil {
		if !attempt.req.AllowStoppingNode {
			return 0
		}
		remaining = min(remaining, schedule.RemainingWait())
	}
	return remaining
}

// lostWaitDivisor gives the queue wait of an attempt whose request has lost a run and that may
// not finish in time anyway: this fraction of the time until its ingress or this node ends.
const lostWaitDivisor = 4

// queueWait bounds how long an attempt waits for a slot. It may wait while it can still be
// answered within its target latency, judging by the usual run time of its route here, and for
// at most half of the remaining time, so that it can be retried elsewhere. An attempt that will
// miss its target in any case waits for a part of its time, after those that can still meet
// theirs.
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

// priority orders the queue before all other criteria, by how much is gained if the attempt is
// served; a slot serves one request either way.
func (a *ownerAttempt) priority() int {
	switch remaining := time.Until(a.deadline); {
	case a.req.AllowUnfinishedRun:
		return -1 // a run of it is lost
	case time.Duration(a.req.TargetMS)*time.Millisecond <= a.worker.timeNeeded(a.req.Route, remaining/4)*2/3:
		return 2 // it will be late, judging by the usual run time of its route here
	case a.req.ResentByCaller:
		return 1 // a part of its target latency is lost
	}
	return 0
}

// usualQueueWait is queueWait without the bounds set by the ingress.
func (a *ownerAttempt) usualQueueWait() time.Duration {
	remaining := time.Until(a.deadline)
	needed := a.worker.timeNeeded(a.req.Route, remaining/4)
	if slack := time.Duration(a.req.TargetMS)*time.Millisecond - needed; slack > 0 {
		return min(remaining/2, slack)
	}
	return max(min(remaining/4, remaining-needed), 0)
}

// lostRetryPause is the pause before a request with a lost run tries the workers that had no
// capacity again. It follows their retry-after time within limits, so that capacity that
// becomes free earlier is not missed.
func (x *Proxy) lostRetryPause(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, x.Settings.HeartbeatInterval()/2), 2*x.Settings.HeartbeatInterval())
}

// keepsTrying tells, after a pause, whether a request continues to look for a worker. This is
// for requests that lost a run after this node got the stop signal: the caller can't come back
// here, and workers that are full now may have a free slot before this node ends.
func (x *Proxy) keepsTrying(ctx context.Context, req *request) bool {
	if req.lost == nil || req.isHedge || !req.arm.Repeatable || req.result.Outcome == protocol.Done || req.reached >= req.arm.MaxAttempts || x.stopSchedule.Load() == nil || x.isEnding() {
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
	// From now on only the worker that lost the run is excluded.
	req.tried = map[string]bool{req.lost.entry.Worker: true}
	req.lookups, req.skipped = 0, nil
	return true
}
