package proxy

import (
	"context"
	"fmt"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/replica"
	"puffincrank/internal/responsedigest"
	"puffincrank/internal/rules"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
)

// stepResult says how the request continues after a step: with the next step, again from the
// choice of a worker, or not at all.
type stepResult int

const (
	proceed stepResult = iota
	restart
	finish
)

// runStep executes one step of the compiled route.
func (x *Proxy) runStep(ctx context.Context, req *request, step rules.Step) stepResult {
	switch step {
	case rules.StepPick:
		return x.pickWorker(ctx, req)
	case rules.StepDeliver:
		return x.attemptDelivery(ctx, req)
	case rules.StepEvaluate:
		return x.evaluate(ctx, req)
	}
	return finish
}

// runSteps executes the steps that the route was compiled to.
func (x *Proxy) runSteps(ctx context.Context, req *request) {
	for index := 0; index < len(req.arm.Steps); {
		switch x.runStep(ctx, req, req.arm.Steps[index]) {
		case proceed:
			index++
		case restart:
			index = 0
		case finish:
			if !x.keepsTrying(ctx, req) {
				return
			}
			index = 0
		}
	}
}

// pickWorker chooses a worker. A lookup without a result is retried with a short backoff; after
// that the request is refused without further waiting.
func (x *Proxy) pickWorker(ctx context.Context, req *request) stepResult {
	for {
		if ctx.Err() != nil {
			req.reason = "no time left"
			return finish
		}
		entries := x.replica.Lookup(req.service)
		entry, ok := x.balancer.Pick(entries, balancer.PickRequest{Route: req.route.Name, Target: time.Until(req.firstSeen.Add(req.arm.Target)), Bulk: req.arm.Bulk != "", Repeatable: req.arm.Repeatable, Delay: x.bulkDelay(req), Tried: req.tried})
		// Whether the local worker accepts requests is known here, so a closed one costs no
		// attempt.
		if ok && x.closedHere(entry) {
			x.balancer.RecordOutcome(balancer.Outcome{Worker: entry.Worker, UsedSlots: -1})
			req.tried[entry.Worker] = true
			continue
		}
		if ok {
			req.entry, req.workerCount = entry, len(entries)
			break
		}
		if req.revisitSkipped() {
			continue
		}
		if req.attempts > 0 || req.lookups >= replica.DefaultRetries || !x.replica.Backoff(ctx, req.lookups) {
			if req.reason == "" {
				// A worker that is starting is known everywhere after one or two heartbeats.
				req.reason, req.retryAfter = "no worker of "+req.service+" is up", x.Settings.WorkerTimeout()
			}
			return finish
		}
		req.lookups++
		req.tried = map[string]bool{}
	}
	if req.attempts == 0 {
		// Calls that a retried run makes count as retries as well.
		req.retryShare = x.callRates.recordCall(req.route.Name, req.service)
	}
	// Until one attempt is known to have arrived, each attempt may be the first at a worker.
	if req.countedAsFirst = req.reached == 0; req.countedAsFirst {
		x.retryBudget.RecordNestedCall(req.service, req.retryShare)
	}
	// Only what reaches a worker after the first attempt is a retry there; an attempt that an
	// owner refused cost no worker anything.
	paid := req.reached == 0 || x.retryBudget.Allow(req.service)
	if req.needsRetryBudget = !paid && req.mayBorrowRetry; !paid && !req.needsRetryBudget {
		x.balancer.RecordOutcome(balancer.Outcome{Worker: req.entry.Worker, UsedSlots: -1})
		req.reason += "; no repeats are left"
		// The retry-after time covers what the last refusal lacked. If that refusal named no
		// time, the retry budget is what is missing.
		if req.retryAfter == 0 {
			req.retryAfter = x.retryBudget.EstimateWait(req.service)
		}
		return finish
	}
	return proceed
}

// closedHere tells whether a worker is local and currently accepts no requests.
func (x *Proxy) closedHere(entry ormap.Entry) bool {
	if entry.Owner != x.Settings.Node {
		return false
	}
	local := x.findWorker(entry.Worker)
	return local == nil || !x.accepts(local)
}

// attemptDelivery sends one attempt to the owner of the chosen worker.
func (x *Proxy) attemptDelivery(ctx context.Context, req *request) stepResult {
	req.attempts++
	req.tried[req.entry.Worker] = true
	remaining := time.Until(req.deadline)
	out := protocol.AttemptRequest{RequestID: req.id, AttemptID: fmt.Sprintf("%s.%d", req.id, req.attempts), Route: req.route.Name, Arm: req.arm.Name,
		ConfigVersion: req.rules.Version, Service: req.service, Class: req.arm.Class, Worker: req.entry.Worker,
		Host: req.httpReq.Host, Method: req.httpReq.Method, URI: req.target, Header: x.forwardedHeaders(req.httpReq.Header), Body: req.body, TimeoutMS: remaining.Milliseconds(),
		WorkerAttemptID: req.callerAttemptID, CallerService: x.currentSettings().Service, Retry: req.reached > 0, NestedRetryShare: req.retryShare, Confidence: req.confidence, MaxQueueMS: x.maxQueueWait().Milliseconds(), IngressWaitMS: x.remainingWaitMS(), Repeatable: req.arm.Repeatable, UsualRunMS: x.usualRunTime(req.route.Name).Milliseconds(), AllowUnfinishedRun: req.isHedge || req.lost != nil, AllowStoppingNode: req.allowEndingNode, NeedsRetryBudget: req.needsRetryBudget,
		TargetMS: time.Until(req.firstSeen.Add(req.arm.Target)).Milliseconds(), ResentByCaller: req.firstSeen.Before(req.receivedAt)}
	if out.TimeoutMS <= 0 {
		req.result = protocol.AttemptResult{Outcome: protocol.Refused, Reason: "no time left", UsedSlots: -1}
		x.balancer.RecordOutcome(balancer.Outcome{Worker: req.entry.Worker, UsedSlots: -1})
		return proceed
	}
	out.NoQueue = x.skipsQueue(req)
	req.limitRequeue(&out)
	sentAt := time.Now()
	hedgeable, ctx := x.beginAttempt(transport.WithLane(ctx, x.requestLane(req)), req, out.AttemptID)
	result := x.sendAttempt(ctx, req, out)
	if hedgeable != nil {
		// From here on no hedge changes the request.
		hedgeable.close(out.AttemptID)
		defer hedgeable.cancel()
		defer hedgeable.settle()
	}
	req.result = result
	if req.result.Outcome == protocol.Done {
		x.nested.setNested(req.route.Name, req.result.CalledByRequests)
	}
	if req.result.ReachedWorker || req.result.Outcome == protocol.Unknown {
		req.reached++
	} else {
		req.undeliveredTime += time.Since(sentAt)
	}
	// A response larger than reserved is already in memory, so it is counted in any case.
	if size := len(req.result.Body); req.result.Outcome == protocol.Done {
		if excess := int64(size) - x.byteLimiter.expectedResponse(req.route.Name); excess > 0 {
			x.byteLimiter.forceReserve(excess)
			req.reservedBytes += excess
		}
		x.byteLimiter.recordResponse(req.route.Name, size)
	}
	if req.result.CalledByRequests {
		x.callRates.markNested(req.route.Name)
	}
	// Only what the worker itself did counts for its health.
	aboutWorker := req.result.Outcome != protocol.Refused && !transport.CanceledByCaller(ctx)
	ok := req.result.Outcome == protocol.Done && req.result.Status < 500
	x.balancer.RecordOutcome(balancer.Outcome{Worker: req.entry.Worker, Service: req.service, Route: req.route.Name, UsedSlots: req.result.UsedSlots,
		Report: balancer.WorkerReport{PaceEighths: req.result.PaceEighths, FailedPer64: req.result.FailedPer64}, RoundTrip: time.Since(sentAt),
		RunTime: time.Duration(req.result.RunMicros) * time.Microsecond, MissedTarget: time.Since(req.receivedAt) > req.arm.Target, OK: ok, AboutWorker: aboutWorker})
	return proceed
}

// sendAttempt runs an attempt on this node or sends it to the owner.
func (x *Proxy) sendAttempt(ctx context.Context, req *request, out protocol.AttemptRequest) protocol.AttemptResult {
	if req.entry.Owner == x.Settings.Node {
		return x.runAsOwner(ctx, out)
	}
	return x.sendToOwner(ctx, req, out)
}

// reasonNoResponse is the reason of an attempt whose owner, or the link to it, gave no result.
const reasonNoResponse = "no receipt from the owner"

// sendToOwner sends the attempt to another node and checks the result.
func (x *Proxy) sendToOwner(ctx context.Context, req *request, out protocol.AttemptRequest) protocol.AttemptResult {
	// A large body waits for the link no longer than for a slot.
	if req.arm.Bulk != "" {
		ctx = transport.WithSendDeadline(ctx, time.Now().Add(x.maxQueueWait()))
	}
	result, err := transport.Call[protocol.AttemptResult](ctx, x.node, req.entry.InternalAddr, "job.hand", out)
	retryAfter, full := transport.IsLinkFull(err)
	switch {
	case err == nil:
	case full:
		return x.linkFull(retryAfter)
	case transport.CanceledByCaller(ctx):
		// That the caller left says nothing about the owner.
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: "the caller has left", UsedSlots: -1}
	case fault.Is(err, fault.Unsent), fault.Is(err, fault.Refused):
		x.balancer.Exclude(req.entry.Owner, x.Settings.ConfigBound/2)
		return protocol.AttemptResult{Outcome: protocol.Refused, Reason: "owner can't be reached", RetryAfterMS: (x.Settings.ConfigBound / 2).Milliseconds(), UsedSlots: -1}
	case shutdown.IsCutoff(ctx):
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: reasonNodeEnding, UsedSlots: -1}
	default:
		x.balancer.Exclude(req.entry.Owner, x.Settings.ConfigBound/2)
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: reasonNoResponse, TimedOut: ctx.Err() != nil, UsedSlots: -1}
	}
	// The ingress verifies the response again: it must belong to exactly this attempt.
	if result.Outcome == protocol.Done && (result.Worker != out.Worker || x.dialect.VerifiesDigest && result.Digest != responsedigest.Of(out.AttemptID, out.Worker, result.Status, result.Body)) {
		x.env.Log.Emit(event.CorruptAnswer, "worker", out.Worker, "attempt", out.AttemptID, "owner", req.entry.Owner)
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: "the answer's seal is broken", UsedSlots: result.UsedSlots}
	}
	return result
}
