package proxy

import (
	"time"

	"puffincrank/internal/session"
)

// queueWaitBound is how long a job of this front may wait for a slot at most. A node that
// is told to end has its grace to answer all that it took; one that waits longer
// than that, at a worker that never had it, would see its connection cut. What
// was handed over before the order is bounded as well, so that it is refused
// before this node goes, too.
func (x *Proxy) queueWaitBound() time.Duration {
	most := x.P.Grace * 6 / 10
	if plan := x.stop.Load(); plan != nil {
		most = min(most, plan.WaitsFor()-x.P.Parting())
	}
	return max(most, time.Millisecond)
}

// isEnding tells that this node goes so soon that nothing more is begun for a job.
func (x *Proxy) isEnding() bool {
	plan := x.stop.Load()
	return plan != nil && plan.WaitsFor() <= 0
}

// boundRequeue bounds how long a job that waited elsewhere already may wait at its next
// worker: half of its time, all workers together. Queued anew for half of what
// is left each time, one that is given up would be held for seven eighths of its
// time. What has waited that long takes a slot that is free, or none.
func (j *job) boundRequeue(h *session.Hand) {
	if j.waited == 0 {
		return
	}
	h.Stay = (j.end.Sub(j.from)/2 - j.waited).Milliseconds()
	if h.Stay <= 0 {
		h.Stay, h.Rush = 0, true
	}
}

// waitLeft is how long this front goes on waiting for answers, in ms and at least 1,
// once it was told to end; 0 as long as it was not.
func (x *Proxy) waitLeft() int64 {
	plan := x.stop.Load()
	if plan == nil {
		return 0
	}
	return max(plan.WaitsFor().Milliseconds(), 1)
}

// reservesRetry tells whether an attempt leaves a part of the job's time for a repeat. It
// ends the attempt while its worker may be at work, so it needs a repeat that is to
// be had, at another worker, and that can be done in what is kept. Around a planned
// stop, from the order until a grace after the start of what came in its place, it
// is not done: where the repeat fails, the caller would have an answer of ours in
// place of its worker's.
func (x *Proxy) reservesRetry(j *job, left time.Duration) bool {
	if !j.arm.Safe || j.arm.Bulk != "" || j.sends-j.rushes >= j.arm.Tries || j.known <= len(j.tried) || !x.again.Could(j.service) {
		return false
	}
	usual := time.Duration(x.pick.Usual(j.path.Name) * float64(time.Millisecond))
	return usual <= left-firstAttempt(left) && x.stop.Load() == nil && time.Since(x.born) > x.P.Grace+x.P.Change
}

// firstAttempt is what the first of two attempts has of a job's time left.
func firstAttempt(left time.Duration) time.Duration { return left * 6 / 10 }

// slackBeforeEnd is how long an attempt may wait that its front, which was told to end, or
// this node waits for no longer than until some time: by what jobs of its path take
// here it is answered before then. Begun later, it would be broken off at work.
// False for all other attempts.
func (x *Proxy) slackBeforeEnd(v *visit) (wait time.Duration, ends bool) {
	need := v.gate.need(v.in.Path, 0)
	if !v.last.IsZero() {
		wait, ends = time.Until(v.last)-need, true
	}
	// Other nodes can have it still, so here it must be all but certain.
	if plan := x.stop.Load(); plan != nil {
		if own := plan.WaitsFor() - 2*need; !ends || own < wait {
			wait, ends = own, true
		}
	}
	return wait, ends
}

// endsInTime refuses an attempt that can't be answered before its front or this node goes;
// another may have the job.
func (x *Proxy) endsInTime(v *visit) bool {
	wait, ends := x.slackBeforeEnd(v)
	return !ends || wait > 0 || v.later("a node on its way ends before it would be done", x.P.Beat())
}

// queueWait is how long an attempt waits for a slot: as long as it can then
// still be answered inside its aim, by what jobs of its path take here, and
// half of the time left at most, so that it can be tried elsewhere. One that
// will be late whatever is done waits a part of its time, after those that need
// not be.
func (x *Proxy) queueWait(v *visit) time.Duration {
	wait := v.usualQueueWait()
	for _, ms := range []int64{v.in.Wait, v.in.Stay} {
		if ms > 0 {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
	}
	if most, ends := x.slackBeforeEnd(v); ends {
		wait = min(wait, max(most, 0))
	}
	return wait
}

// rank is what a job's turn goes by before all else: what it is still worth to
// be served. A slot serves one job either way.
func (v *visit) rank() int {
	switch left := time.Until(v.end); {
	case time.Duration(v.in.Aim)*time.Millisecond <= v.gate.need(v.in.Path, left/4)*2/3:
		return 2 // it would be late, by what jobs of its path take here
	case v.in.Seen:
		return 1 // a part of its aim is lost
	}
	return 0
}

// usualQueueWait is the same without the front's own bounds.
func (v *visit) usualQueueWait() time.Duration {
	left := time.Until(v.end)
	need := v.gate.need(v.in.Path, left/4)
	if slack := time.Duration(v.in.Aim)*time.Millisecond - need; slack > 0 {
		return min(left/2, slack)
	}
	return max(min(left/4, left-need), 0)
}
