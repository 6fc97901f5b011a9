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
	ingressDeadline time.Time // when its front waits for answers no more; zero if it wasn't told to end
	worker          *localWorker
	result          protocol.AttemptResult
	admittedAt      time.Time
	slotHeld        bool               // a slot is taken
	started         bool               // it was begun at the worker
	retryShare      float64            // how far the run is a repeat
	reservedCalls   map[string]float64 // held for the calls of a repeat
	activeRun       *balancer.ActiveRun
	unreachable     bool   // the worker took no connection
	connForgotten   bool   // it had forgotten a kept connection
	cutReason       string // why its run was ended from here; "" if it was not
	lane            int    // that it came by
	releaseResponse func() // gives back what was booked for its answer
	admission       admission.Request
	localVersion    uint64 // the version held here, where it isn't the job's
}

// The owner's filters, run in order until one says how the attempt ended.
var ownerSteps = []func(*Proxy, context.Context, *ownerAttempt) bool{
	(*Proxy).checkNode, (*Proxy).checkRules, (*Proxy).checkWorker, (*Proxy).reserveResponse, (*Proxy).admit, (*Proxy).callWorker, (*Proxy).checkResponse,
}

// runAsOwner runs one attempt as the owner. All doubts about whether the job may run
// are settled here, where the worker is, so that no two nodes can disagree.
func (x *Proxy) runAsOwner(ctx context.Context, in protocol.AttemptRequest) protocol.AttemptResult {
	attempt := &ownerAttempt{req: in, deadline: time.Now().Add(time.Duration(in.TimeoutMS) * time.Millisecond)}
	// What came over a link has its time as a bound already, less what it spent
	// on the way; of an own job a part may be kept for a repeat.
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(attempt.deadline) {
		attempt.deadline = ctxDeadline
	} else if !ok || ctxDeadline.Sub(attempt.deadline) > time.Duration(in.TimeoutMS)*time.Millisecond/8 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, attempt.deadline)
		defer cancel()
	}
	// Counted from when it was handed over, as its time left is.
	if in.FrontWaitMS > 0 {
		attempt.ingressDeadline = attempt.deadline.Add(time.Duration(in.FrontWaitMS-in.TimeoutMS) * time.Millisecond)
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
		attempt.result.PaceEighths, attempt.result.FailedPer64 = report.Pace, report.Fail
	}
	return attempt.result
}

func (v *ownerAttempt) refuse(reason string) bool { return v.refuseRetryAfter(reason, 0) }

// refuseRetryAfter refuses with a word on when there may be room.
func (v *ownerAttempt) refuseRetryAfter(reason string, retryAfter time.Duration) bool {
	v.result = protocol.AttemptResult{Outcome: protocol.Refused, Reason: reason, RetryAfterMS: retryAfter.Milliseconds()}
	return false
}

// refuseMismatch refuses a job whose front holds another configuration.
func (v *ownerAttempt) refuseMismatch(reason string) bool {
	v.result = protocol.AttemptResult{Outcome: protocol.Refused, Reason: reason, ConfigMismatch: true, ConfigVersion: v.localVersion}
	return false
}

func (v *ownerAttempt) outcomeUnknown(reason string) bool {
	v.result = protocol.AttemptResult{Outcome: protocol.Unknown, Reason: reason, TimedOut: !time.Now().Before(v.deadline), ReachedWorker: v.result.ReachedWorker}
	return false
}

// checkNode holds the attempt until this node is sure of its configuration
// and refuses a second arrival.
func (x *Proxy) checkNode(ctx context.Context, attempt *ownerAttempt) bool {
	if !x.recordArrival(attempt.req.AttemptID, time.Duration(attempt.req.TimeoutMS)*time.Millisecond) {
		x.env.Log.Emit(event.DuplicateAttempt, "attempt", attempt.req.AttemptID)
		// The first arrival may have run, so this is not a refusal.
		return attempt.outcomeUnknown("second arrival of one attempt")
	}
	// Others may know this node's worker before it has its own rules.
	x.waitUntilReady(ctx, time.Until(attempt.deadline)/4)
	return x.confirmConfig(ctx, attempt)
}

// confirmConfig tells whether the job may run by what is held here. A bound on changes
// counts from when a job was sent: one whose front was sure after it had read it
// may run by that version whenever it does. A front that was not needs an owner
// that is; when both are out of touch, both act by what they have.
func (x *Proxy) confirmConfig(ctx context.Context, attempt *ownerAttempt) bool {
	if attempt.req.Confidence == protocol.Confirmed {
		return true
	}
	if confidence := x.confirm(ctx, attempt.deadline); confidence == protocol.Confirmed || confidence == protocol.Disconnected && attempt.req.Confidence != protocol.Unconfirmed {
		return true
	}
	return attempt.refuse("owner can't confirm its configuration")
}

// checkRules lets a job in only if the newest configuration here still sends
// jobs of its kind to this service. A front that was sure of an older one when it
// had read the job may go by it; one that said that it was not takes the newer
// one from here first, since its own may have been replaced long ago.
func (x *Proxy) checkRules(_ context.Context, attempt *ownerAttempt) bool {
	newest := x.rules.Load()
	if newest == nil {
		return attempt.refuse("owner has no configuration")
	}
	if newest.Version == attempt.req.ConfigVersion {
		return true
	}
	attempt.localVersion = newest.Version
	if newest.Version < attempt.req.ConfigVersion {
		x.control.HeartbeatNow()
		return attempt.refuseMismatch("owner's configuration is older than the job's")
	}
	if attempt.req.Confidence == protocol.Disconnected || attempt.req.Confidence == protocol.Unconfirmed {
		return attempt.refuseMismatch("a newer configuration is known than the job's front was sure of")
	}
	route := newest.Match(attempt.req.Host, attempt.req.Method, urlPath(attempt.req.URI))
	if route == nil || (!route.Base.RoutesTo(attempt.req.Service) && (route.Trial == 0 || !route.New.RoutesTo(attempt.req.Service))) {
		return attempt.refuseMismatch("a newer configuration doesn't send this job here")
	}
	if _, ok := newest.Shares[attempt.req.Class]; !ok {
		return attempt.refuseMismatch("a newer configuration has no such class")
	}
	return true
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

// stillWanted looks whether somebody still waits for the attempt, and whether it has
// time left to be delivered in.
func (x *Proxy) stillWanted(ctx context.Context, attempt *ownerAttempt) bool {
	if transport.CanceledByCaller(ctx) {
		return attempt.refuse(reasonCallerLeft)
	}
	if shutdown.IsCutoff(ctx) {
		return attempt.refuse(reasonNodeEnding)
	}
	return time.Now().Before(attempt.deadline) || attempt.refuse("no time left before delivery")
}

// checkAccepting looks whether the gate's door is open just now.
func (x *Proxy) checkAccepting(attempt *ownerAttempt) bool {
	if x.accepts(attempt.worker) {
		return true
	}
	if state := attempt.worker.state.Current(); state != "up" {
		return attempt.refuseRetryAfter("worker is "+state, x.Settings.WorkerTimeout())
	}
	return attempt.refuseRetryAfter("no fresh word of the worker", 2*x.Settings.WorkerHeartbeat())
}

// admit takes a slot. Waiting is bounded by a part of the time left, so that
// enough is left to run the job or to try elsewhere.
func (x *Proxy) admit(ctx context.Context, attempt *ownerAttempt) bool {
	// Jobs that hang say nothing by themselves; those that come find them.
	x.publishHealth(attempt.worker)
	if !x.endsInTime(attempt) {
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
	// The wait may have been long: all that could have changed is looked at
	// once more right before the job goes out.
	if !x.stillWanted(ctx, attempt) || !x.endsInTime(attempt) {
		return false
	}
	return x.confirmConfig(ctx, attempt) && x.checkRules(ctx, attempt)
}
