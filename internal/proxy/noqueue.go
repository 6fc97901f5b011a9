package proxy

import "time"

// A job that finds no free slot goes on to another worker rather than wait, so
// often at the most, before it waits at one: what the front knows of loads is old
// where there are many fronts, and asking costs less than waiting.
const (
	maxNoQueueAttempts = 2
	// Bodies over this part of a frame are not carried about.
	noQueueBodyDivisor = 2048
)

// skipsQueue decides whether a job's next send would rather go on than wait: as long
// as slots are free somewhere, and its body is small.
func (x *Proxy) skipsQueue(req *request) bool {
	req.noQueue = req.noQueueAttempts < maxNoQueueAttempts && req.arm.Bulk == "" && len(req.body) <= x.Settings.MaxFrameBytes/noQueueBodyDivisor && x.balancer.HasFreeSlots(req.service)
	return req.noQueue
}

// skipFullWorker follows a rush that found no free slot: the worker is passed over for
// the next, which counts as none of the path's tries.
func (req *request) skipFullWorker() stepResult {
	req.noQueueAttempts++
	req.skipped = append(req.skipped, req.entry.Worker)
	if req.noQueueAttempts == maxNoQueueAttempts {
		req.revisitSkipped()
	}
	return restart
}

// revisitSkipped lets a job turn to the workers that it passed over, to wait there; false
// when there were none.
func (req *request) revisitSkipped() bool {
	if len(req.skipped) == 0 {
		return false
	}
	for _, w := range req.skipped {
		delete(req.tried, w)
	}
	req.skipped, req.noQueueAttempts = nil, maxNoQueueAttempts
	return true
}

// recordRefusal notes what a caller would be told now: what the last worker asked
// lacked, and when it has room. The longest of several such words, each spread at
// random, would call a crowd back together, and late.
func (req *request) recordRefusal() {
	req.reason = req.result.Reason
	if req.result.RetryAfterMS > 0 {
		req.retryAfter = time.Duration(req.result.RetryAfterMS) * time.Millisecond
	}
}
