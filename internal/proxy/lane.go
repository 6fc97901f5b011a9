package proxy

import (
	"context"
	"time"

	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// The rules have as many lanes as the links have for jobs.
var _ = [1]struct{}{}[transport.LaneBulk-transport.LaneRequests+1-rules.RequestLanes]

// requestLane is the lane that a job goes by on links: its arm's, or the most urgent of
// the jobs that it may be a call of. A small call of a bulk job goes after all
// that is urgent and before the bulk itself: as long as it waits, a slot does.
func (x *Proxy) requestLane(req *request) int {
	armLane := transport.LaneRequests + req.rules.Lane(req.arm)
	if req.arm.Bulk != "" {
		return armLane
	}
	if l, ok := x.nested.callerLane(req.route.Name); ok {
		return min(l, transport.LaneBulk-1)
	}
	return armLane
}

// bulkDelay tells the nominator how long a bulk job would be under way to an owner
// now, as measured.
func (x *Proxy) bulkDelay(req *request) func(ormap.Entry) time.Duration {
	if req.arm.Bulk == "" {
		return nil
	}
	return func(e ormap.Entry) time.Duration { return x.node.BulkDelay(e.InternalAddr, len(req.body)) }
}

// linkFull is the outcome of an attempt for which the link had no room: nothing was
// sent, and the owner is none the worse for it.
func (x *Proxy) linkFull(retryAfter time.Duration) protocol.AttemptResult {
	x.thinLinkRefusals.Add(1)
	return protocol.AttemptResult{Outcome: protocol.Refused, Reason: "the link to the owner is full", RetryAfterMS: max(retryAfter, x.Settings.HeartbeatInterval()).Milliseconds(), UsedSlots: -1}
}

// reserveResponse keeps room on the link back for the answer of a bulk job, by what others
// of its path brought. A link that could not take it in time refuses the job
// before it runs.
func (x *Proxy) reserveResponse(ctx context.Context, attempt *ownerAttempt) bool {
	remaining := time.Until(attempt.deadline)
	needed := attempt.worker.timeNeeded(attempt.req.Route, remaining/4)
	if transport.LaneOf(ctx) == transport.LaneBulk && remaining < needed+x.Settings.CallTimeout()/4 {
		// It took its time to come here; begun now, its receipt might come too
		// late, and nobody would know that it ran.
		return attempt.refuse("no time left to run it in")
	}
	// The answer must be there before its front goes, should that be told to end
	// in this moment; else it would be cut off on its way.
	if maxWait := time.Duration(attempt.req.MaxQueueMS) * time.Millisecond; maxWait > 0 && maxWait < remaining {
		limited, end := context.WithTimeout(ctx, maxWait)
		defer end()
		ctx = limited
	}
	release, retryAfter, ok := transport.ReserveResponse(ctx, attempt.worker.responseSize(attempt.req.Route), needed)
	if !ok {
		x.thinLinkRefusals.Add(1)
		return attempt.refuseRetryAfter("the link back to the front is full", max(retryAfter, x.Settings.HeartbeatInterval()))
	}
	attempt.releaseResponse = release
	return true
}

// releaseReservations gives back what an attempt booked, right before its receipt goes out.
func (x *Proxy) releaseReservations(attempt *ownerAttempt) {
	if attempt.releaseResponse != nil {
		attempt.releaseResponse()
	}
	if attempt.slotHeld {
		x.nested.runEnded(attempt.lane)
	}
}

// beginLane notes the lane of a job that has its slot now.
func (x *Proxy) beginLane(ctx context.Context) int {
	lane := transport.LaneOf(ctx)
	x.nested.runBegan(lane)
	return lane
}

// runBegan and end note by which lanes the jobs at the own worker came, for the
// calls that they make.
func (k *nestedRoutes) runBegan(lane int) {
	k.mu.Lock()
	k.runsByLane[lane]++
	k.mu.Unlock()
}

func (k *nestedRoutes) runEnded(lane int) {
	k.mu.Lock()
	k.runsByLane[lane]--
	k.mu.Unlock()
}

// setNested notes an owner's word on whether a path is called from within.
func (k *nestedRoutes) setNested(route string, nested bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !nested {
		delete(k.nestedAtOwner, route)
		return
	}
	if len(k.nestedAtOwner) >= 1024 {
		clear(k.nestedAtOwner)
	}
	k.nestedAtOwner[route] = true
}

// callerLane gives the most urgent lane of the jobs that a call of this path may
// belong to; false when it is none, as far as is known.
func (k *nestedRoutes) callerLane(route string) (int, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.nestedAtOwner[route] {
		return 0, false
	}
	for lane, n := range k.runsByLane {
		if n > 0 {
			return lane, true
		}
	}
	return 0, false
}
