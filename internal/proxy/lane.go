package proxy

import (
	"context"
	"time"

	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// The rules have as many lanes as the links have for requests.
var _ = [1]struct{}{}[transport.LaneBulk-transport.LaneRequests+1-rules.RequestLanes]

// requestLane is the lane that a request takes on links: that of its arm, or for a nested call
// the most urgent lane of the requests it may belong to. A small call of a bulk request goes
// after everything urgent and before the bulk itself, since the bulk request holds a slot while
// the call waits.
func (x *Proxy) requestLane(req *request) int {
	armLane := transport.LaneRequests + req.rules.Lane(req.arm)
	if req.arm.Bulk != "" {
		return armLane
	}
	if lane, ok := x.nested.callerLane(req.route.Name); ok {
		return min(lane, transport.LaneBulk-1)
	}
	return armLane
}

// bulkDelay gives the balancer the measured transfer time of a bulk request to an owner.
func (x *Proxy) bulkDelay(req *request) func(ormap.Entry) time.Duration {
	if req.arm.Bulk == "" {
		return nil
	}
	return func(e ormap.Entry) time.Duration { return x.node.BulkDelay(e.InternalAddr, len(req.body)) }
}

// linkFull is the result of an attempt for which the link had no capacity: nothing was sent,
// and it does not count against the owner.
func (x *Proxy) linkFull(retryAfter time.Duration) protocol.AttemptResult {
	x.thinLinkRefusals.Add(1)
	return protocol.AttemptResult{Outcome: protocol.Refused, Reason: "the link to the owner is full", RetryAfterMS: max(retryAfter, x.Settings.HeartbeatInterval()).Milliseconds(), UsedSlots: -1}
}

// reserveResponse reserves capacity on the link back to the ingress for the response of a bulk
// request, sized by earlier responses of its route. A link that could not take the response in
// time refuses the request before it runs.
func (x *Proxy) reserveResponse(ctx context.Context, attempt *ownerAttempt) bool {
	remaining := time.Until(attempt.deadline)
	needed := attempt.worker.timeNeeded(attempt.req.Route, remaining/4)
	if transport.LaneOf(ctx) == transport.LaneBulk && remaining < needed+x.Settings.CallTimeout()/4 {
		// The transfer to this node took long. If the request started now, its result might
		// arrive too late, and nobody would know that it ran.
		return attempt.refuse("no time left to run it in")
	}
	// The response must arrive before its ingress ends, should that one get the stop signal
	// right now; otherwise it would be cut off in transit.
	if maxWait := time.Duration(attempt.req.MaxQueueMS) * time.Millisecond; maxWait > 0 && maxWait < remaining {
		limited, cancel := context.WithTimeout(ctx, maxWait)
		defer cancel()
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

// releaseReservations releases what an attempt reserved, right before its result is sent.
func (x *Proxy) releaseReservations(attempt *ownerAttempt) {
	if attempt.releaseResponse != nil {
		attempt.releaseResponse()
	}
	if attempt.slotHeld {
		x.nested.runEnded(attempt.lane)
	}
}

// beginLane records the lane of a request that has just got its slot.
func (x *Proxy) beginLane(ctx context.Context) int {
	lane := transport.LaneOf(ctx)
	x.nested.runBegan(lane)
	return lane
}

// runBegan and runEnded record on which lanes the requests at the local worker arrived, for the
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

// setNested records an owner's report of whether a route is nested.
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

// callerLane gives the most urgent lane of the requests that a call of this route may belong
// to; false if it is not known to be nested.
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
