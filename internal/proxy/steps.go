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

// stepResult is what a step says: go on with the next, go back to the nomination,
// or stop.
type stepResult int

const (
	proceed stepResult = iota
	restart
	finish
)

// runStep does one step of the rules.
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

// runSteps is the interpreter: it runs the steps that the path was compiled to.
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

// pickWorker picks a worker. A lookup that finds nothing is tried again with a
// short backoff; after that the job is given up at once.
func (x *Proxy) pickWorker(ctx context.Context, req *request) stepResult {
	for {
		if ctx.Err() != nil {
			req.reason = "no time left"
			return finish
		}
		entries := x.replica.Lookup(req.service)
		entry, ok := x.balancer.Pick(entries, balancer.PickRequest{Route: req.route.Name, Target: time.Until(req.firstSeen.Add(req.arm.Target)), Bulk: req.arm.Bulk != "", Repeatable: req.arm.Repeatable, Delay: x.bulkDelay(req), Tried: req.tried})
		// The own worker's door is seen from here: shut, it costs no send.
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
				// One that starts is known everywhere after a beat or two.
				req.reason, req.retryAfter = "no worker of "+req.service+" is up", x.Settings.WorkerTimeout()
			}
			return finish
		}
		req.lookups++
		req.tried = map[string]bool{}
	}
	if req.attempts == 0 {
		// Calls of a repeated run are repeats as well.
		req.retryShare = x.callRates.recordCall(req.route.Name, req.service)
	}
	// As long as none is known to have come, each send may be the first there.
	if req.countedAsFirst = req.reached == 0; req.countedAsFirst {
		x.retryBudget.RecordNestedCall(req.service, req.retryShare)
	}
	// Only what comes to a worker after the first is a repeat there; what an
	// owner refused by itself cost no worker anything.
	paid := req.reached == 0 || x.retryBudget.Allow(req.service)
	if req.needsRetryBudget = !paid && req.mayBorrowRetry; !paid && !req.needsRetryBudget {
		x.balancer.RecordOutcome(balancer.Outcome{Worker: req.entry.Worker, UsedSlots: -1})
		req.reason += "; no repeats are left"
		// Whoever comes back needs what the last refusal lacked; when that one
		// named no time, what lacks is a repeat.
		if req.retryAfter == 0 {
			req.retryAfter = x.retryBudget.EstimateWait(req.service)
		}
		return finish
	}
	return proceed
}

// closedHere tells that a worker is this node's own and takes nothing just now.
func (x *Proxy) closedHere(entry ormap.Entry) bool {
	if entry.Owner != x.Settings.Node {
		return false
	}
	local := x.findWorker(entry.Worker)
	return local == nil || !x.accepts(local)
}

// attemptDelivery sends one attempt to the owner of the nominated worker.
func (x *Proxy) attemptDelivery(ctx context.Context, req *request) stepResult {
	req.attempts++
	req.tried[req.entry.Worker] = true
	remaining := time.Until(req.deadline)
	out := protocol.AttemptRequest{RequestID: req.id, AttemptID: fmt.Sprintf("%s.%d", req.id, req.attempts), Route: req.route.Name, Arm: req.arm.Name,
		ConfigVersion: req.rules.Version, Service: req.service, Class: req.arm.Class, Worker: req.entry.Worker,
		Host: req.httpReq.Host, Method: req.httpReq.Method, URI: req.httpReq.URL.RequestURI(), Header: x.forwardedHeaders(req.httpReq.Header), Body: req.body, TimeoutMS: remaining.Milliseconds(),
		WorkerAttemptID: req.callerAttemptID, CallerService: x.currentSettings().Service, Retry: req.reached > 0, NestedRetryShare: req.retryShare, Confidence: req.confidence, MaxQueueMS: x.maxQueueWait().Milliseconds(), FrontWaitMS: x.remainingWaitMS(), Repeatable: req.arm.Repeatable, UsualRunMS: x.usualRunTime(req.route.Name).Milliseconds(), AllowUnfinishedRun: req.isHedge || req.lost != nil, AllowEndingNode: req.allowEndingNode, NeedsRetryBudget: req.needsRetryBudget,
		TargetMS: time.Until(req.firstSeen.Add(req.arm.Target)).Milliseconds(), SentAgainByCaller: req.firstSeen.Before(req.receivedAt)}
	if x.dialect.KeepsAttemptID {
		out.URI = requestTarget(req.httpReq)
	}
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
		// From here on the request is changed by nobody else.
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
	// An answer larger than was expected is there all the same.
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
	// Only what the worker itself did speaks of its fitness.
	aboutWorker := req.result.Outcome != protocol.Refused && !transport.CanceledByCaller(ctx)
	ok := req.result.Outcome == protocol.Done && req.result.Status < 500
	x.balancer.RecordOutcome(balancer.Outcome{Worker: req.entry.Worker, Service: req.service, Route: req.route.Name, UsedSlots: req.result.UsedSlots,
		Report: balancer.WorkerReport{Pace: req.result.PaceEighths, Fail: req.result.FailedPer64}, RoundTrip: time.Since(sentAt),
		RunTime: time.Duration(req.result.RunMicros) * time.Microsecond, MissedTarget: time.Since(req.receivedAt) > req.arm.Target, OK: ok, AboutWorker: aboutWorker})
	return proceed
}

// sendAttempt has an attempt run, here or at another node.
func (x *Proxy) sendAttempt(ctx context.Context, req *request, out protocol.AttemptRequest) protocol.AttemptResult {
	if req.entry.Owner == x.Settings.Node {
		return x.runAsOwner(ctx, out)
	}
	return x.sendToOwner(ctx, req, out)
}

// reasonNoResponse is why an attempt ends whose owner, or the link to it, said no more.
const reasonNoResponse = "no receipt from the owner"

// sendToOwner hands the attempt over to another node and checks what comes back.
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
		// It says nothing of the owner that nobody waited for it.
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
	// The answer is checked again here: it must be for this very attempt.
	if result.Outcome == protocol.Done && (result.Worker != out.Worker || x.dialect.VerifiesDigest && result.Digest != responsedigest.Of(out.AttemptID, out.Worker, result.Status, result.Body)) {
		x.env.Log.Emit(event.CorruptAnswer, "worker", out.Worker, "attempt", out.AttemptID, "owner", req.entry.Owner)
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: "the answer's seal is broken", UsedSlots: result.UsedSlots}
	}
	return result
}
