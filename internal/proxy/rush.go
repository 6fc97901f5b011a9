package proxy

import "time"

// A job that finds no free slot goes on to another worker rather than wait, so
// often at the most, before it waits at one: what the front knows of loads is old
// where there are many fronts, and asking costs less than waiting.
const (
	rushMost = 2
	// Bodies over this part of a frame are not carried about.
	rushBody = 2048
)

// rushes decides whether a job's next send would rather go on than wait: as long
// as slots are free somewhere, and its body is small.
func (x *Proxy) rushes(j *job) bool {
	j.rushing = j.rushes < rushMost && j.arm.Bulk == "" && len(j.body) <= x.Settings.MaxFrameBytes/rushBody && x.pick.HasFreeSlots(j.service)
	return j.rushing
}

// rushed follows a rush that found no free slot: the worker is passed over for
// the next, which counts as none of the path's tries.
func (j *job) rushed() verb {
	j.rushes++
	j.passed = append(j.passed, j.entry.Worker)
	if j.rushes == rushMost {
		j.calm()
	}
	return back
}

// calm lets a job turn to the workers that it passed over, to wait there; false
// when there were none.
func (j *job) calm() bool {
	if len(j.passed) == 0 {
		return false
	}
	for _, w := range j.passed {
		delete(j.tried, w)
	}
	j.passed, j.rushes = nil, rushMost
	return true
}

// refused notes what a caller would be told now: what the last worker asked
// lacked, and when it has room. The longest of several such words, each spread at
// random, would call a crowd back together, and late.
func (j *job) refused() {
	j.why = j.back.Reason
	if j.back.RetryAfterMS > 0 {
		j.come = time.Duration(j.back.RetryAfterMS) * time.Millisecond
	}
}
