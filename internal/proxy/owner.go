package proxy

import (
	"context"
	"time"

	"puffincrank/internal/admission"
	"puffincrank/internal/balancer"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
)

// ownerAttempt is one attempt on its way through the owner.
type ownerAttempt struct {
	req             protocol.AttemptRequest
	deadline        time.Time
	ingressDeadline time.Time // when its ingress stops waiting; zero if that one is not stopping
	worker          *localWorker
	result          protocol.AttemptResult
	admittedAt      time.Time
	slotHeld        bool               // it holds a slot
	started         bool               // the worker was sent the request
	retryShare      float64            // how far the run counts as a retry
	reservedCalls   map[string]float64 // retries reserved for the calls of this run
	activeRun       *balancer.ActiveRun
	unreachable     bool   // the worker accepted no connection
	connForgotten   bool   // the worker had closed a kept connection
	cutReason       string // why this node ended the run; "" if it did not
	lane            int    // that the attempt arrived on
	releaseResponse func() // releases the space reserved for its response
	admission       admission.Request
	localVersion    uint64 // set if it differs from the version of the request
	checkedVersion  uint64 // by which the request was found to have the route that its ingress named
}

// The owner's checks, run in order until one of them sets the result.
var ownerSteps = []func(*Proxy, context.Context, *ownerAttempt) bool{
	(*Proxy).checkNode, (*Proxy).checkRules, (*Proxy).checkWorker, (*Proxy).reserveResponse, (*Proxy).admit, (*Proxy).callWorker, (*Proxy).checkResponse,
}

// runAsOwner runs one attempt as the owner. Whether the request may run is decided here only,
// beside the worker, so that no two nodes can disagree.
func (x *Proxy) runAsOwner(ctx context.Context, in protocol.AttemptRequest) protocol.AttemptResult {
	attempt := &ownerAttempt{req: in, deadline: time.Now().Add(time.Duration(in.TimeoutMS) * time.Millisecond)}
	// The deadline of an attempt from a link is already in the context, less its transfer time;
	// for a local one a part may be kept back for a retry.
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(attempt.deadline) {
		attempt.deadline = ctxDeadline
	} else if !ok || ctxDeadline.Sub(attempt.deadline) > time.Duration(in.TimeoutMS)*time.Millisecond/8 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, attempt.deadline)
		defer cancel()
	}
	// Counted from when the ingress sent it, like its timeout.
	if in.IngressWaitMS > 0 {
		attempt.ingressDeadline = attempt.deadline.Add(time.Duration(in.IngressWaitMS-in.TimeoutMS) * time.Millisecond)
	}
	x.activeAttempts.Add(1)
	defer x.activeAttempts.Add(-1)
	for _, step := range ownerSteps {
		if !step(x, ctx, attempt) {
			break
		}
	}
	if attempt.result.Outcome == protocol.Refused && !attempt.result.ReachedWorker {
		x.recordDecision(attempt, stepRefused, attempt.result.Reason)
	}
	if attempt.result.Outcome == protocol.Unknown {
		x.recordDecision(attempt, stepUnknown, attempt.result.Reason)
	}
	if schedule := x.stopSchedule.Load(); schedule != nil && attempt.result.Outcome != protocol.Done {
		attempt.result.StoppingForMS = max(schedule.Elapsed().Milliseconds(), 1)
	}
	attempt.result.UsedSlots, attempt.result.CalledByRequests = -1, attempt.admission.Nested
	if attempt.worker != nil {
		x.endRun(attempt)
		x.releaseReservations(attempt)
		if attempt.slotHeld {
			if attempt.result.Outcome == protocol.Done {
				took := time.Since(attempt.admittedAt)
				attempt.worker.recordRun(in.Route, took, len(attempt.result.Body))
				attempt.result.RunMicros = took.Microseconds()
			}
			attempt.worker.admission.Release(attempt.admission, time.Since(attempt.admittedAt))
			x.recordRun(attempt)
		}
		used, waiting, _ := attempt.worker.admission.Load()
		attempt.result.UsedSlots = used + waiting
		report := attempt.worker.stats.Report()
		attempt.result.PaceEighths, attempt.result.FailedPer64 = report.PaceEighths, report.FailedPer64
	}
	return attempt.result
}

func (a *ownerAttempt) refuse(reason string) bool { return a.refuseRetryAfter(reason, 0) }

// refuseRetryAfter refuses with an estimate of when there may be capacity.
func (a *ownerAttempt) refuseRetryAfter(reason string, retryAfter time.Duration) bool {
	a.result = protocol.AttemptResult{Outcome: protocol.Refused, Reason: reason, RetryAfterMS: retryAfter.Milliseconds()}
	return false
}

// refuseMismatch refuses a request whose ingress holds another configuration.
func (a *ownerAttempt) refuseMismatch(reason string) bool {
	a.result = protocol.AttemptResult{Outcome: protocol.Refused, Reason: reason, ConfigMismatch: true, ConfigVersion: a.localVersion}
	return false
}

func (a *ownerAttempt) outcomeUnknown(reason string) bool {
	a.result = protocol.AttemptResult{Outcome: protocol.Unknown, Reason: reason, TimedOut: !time.Now().Before(a.deadline), ReachedWorker: a.result.ReachedWorker}
	return false
}

// checkNode holds the attempt until this node's configuration is confirmed, and detects
// duplicate arrivals.
func (x *Proxy) checkNode(ctx context.Context, attempt *ownerAttempt) bool {
	if !x.recordArrival(attempt.req.AttemptID, time.Duration(attempt.req.TimeoutMS)*time.Millisecond) {
		x.env.Log.Emit(event.DuplicateAttempt, "attempt", attempt.req.AttemptID)
		// The first arrival may have run, so this is not a refusal.
		return attempt.outcomeUnknown("second arrival of one attempt")
	}
	// Other nodes may know the local worker before this node has its rules.
	x.waitUntilReady(ctx, time.Until(attempt.deadline)/4)
	return x.confirmConfig(ctx, attempt)
}

func (x *Proxy) checkWorker(_ context.Context, attempt *ownerAttempt) bool {
	x.nested.recordCaller(attempt.req.Route, attempt.req.CallerService)
	attempt.worker = x.findWorker(attempt.req.Worker)
	if attempt.worker == nil || attempt.worker.service != attempt.req.Service {
		attempt.worker = nil
		return attempt.refuse("no such worker here")
	}
	return x.checkAccepting(attempt)
}

// stillWanted tells whether somebody still waits for the attempt and time is left to deliver
// it.
func (x *Proxy) stillWanted(ctx context.Context, attempt *ownerAttempt) bool {
	if transport.CanceledByCaller(ctx) {
		return attempt.refuse(reasonCallerLeft)
	}
	if shutdown.IsCutoff(ctx) {
		return attempt.refuse(reasonNodeEnding)
	}
	return time.Now().Before(attempt.deadline) || attempt.refuse("no time left before delivery")
}

// checkAccepting tells whether the worker accepts requests at the moment.
func (x *Proxy) checkAccepting(attempt *ownerAttempt) bool {
	if x.accepts(attempt.worker) {
		return true
	}
	if state := attempt.worker.state.Current(); state != "up" {
		return attempt.refuseRetryAfter("worker is "+state, x.Settings.WorkerTimeout())
	}
	return attempt.refuseRetryAfter("no fresh word of the worker", 2*x.Settings.WorkerHeartbeat())
}

// admit takes a slot. The wait is bounded by a part of the remaining time, so that enough is
// left to run the request or to retry elsewhere.
func (x *Proxy) admit(ctx context.Context, attempt *ownerAttempt) bool {
	// A hung request reports nothing by itself; it is noticed when the next ones arrive.
	x.publishHealth(attempt.worker)
	if !x.checkEndsInTime(attempt) {
		return false
	}
	attempt.admission = admission.Request{Class: attempt.req.Class, MaxWait: x.queueWait(attempt), Nested: x.nested.isNested(attempt.req.Route), Priority: attempt.priority()}
	if attempt.req.NoQueue {
		attempt.admission.MaxWait = 0
	}
	if reason := attempt.worker.admission.Acquire(ctx, attempt.admission); reason != admission.Admitted {
		attempt.refuseRetryAfter(reason, attempt.worker.admission.EstimateDrain(attempt.req.Class))
		attempt.result.NoFreeSlot = attempt.req.NoQueue && (reason == admission.QueueFull || reason == admission.NoTimeLeft)
		return false
	}
	attempt.slotHeld, attempt.admittedAt, attempt.lane = true, time.Now(), x.beginLane(ctx)
	attempt.activeRun = attempt.worker.stats.RunStarted(x.balancer.UsualRunMS(attempt.req.Route))
	// The wait may have been long, so everything that could have changed is checked again right
	// before the request is delivered.
	if !x.stillWanted(ctx, attempt) || !x.checkEndsInTime(attempt) {
		return false
	}
	return x.confirmConfig(ctx, attempt) && x.checkRules(ctx, attempt)
}
