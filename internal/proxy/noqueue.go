package proxy

import "time"

// A request that finds no free slot is sent to another worker instead of queuing, up to this
// many times before it queues. With many ingresses, each one's view of the load is out of date,
// and an attempt costs less than the wait.
const (
	maxNoQueueAttempts = 2
	// Larger bodies than this fraction of a frame are not sent around.
	noQueueBodyDivisor = 2048
)

// skipsQueue decides whether the next attempt should not queue: while slots are free somewhere
// and the body is small.
func (x *Proxy) skipsQueue(req *request) bool {
	req.noQueue = req.noQueueAttempts < maxNoQueueAttempts && req.arm.Bulk == "" && len(req.body) <= x.Settings.MaxFrameBytes/noQueueBodyDivisor && x.balancer.HasFreeSlots(req.service)
	return req.noQueue
}

// skipFullWorker follows an attempt without queuing that found no free slot: the next worker is
// tried, and the attempt does not count against the route's limit.
func (req *request) skipFullWorker() stepResult {
	req.noQueueAttempts++
	req.skipped = append(req.skipped, req.entry.Worker)
	if req.noQueueAttempts == maxNoQueueAttempts {
		req.revisitSkipped()
	}
	return restart
}

// revisitSkipped lets the request return to the workers that it skipped, to queue there; false
// if there were none.
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

// recordRefusal keeps what the caller would be told now: the reason of the last refusal, and
// its retry-after time if it has one. The longest of several such times, each with its own
// jitter, would bring many callers back together, and late.
func (req *request) recordRefusal() {
	req.reason = req.result.Reason
	if req.result.RetryAfterMS > 0 {
		req.retryAfter = time.Duration(req.result.RetryAfterMS) * time.Millisecond
	}
}
