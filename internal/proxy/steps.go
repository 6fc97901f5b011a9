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

// verb is what a step says: go on with the next, go back to the nomination,
// or stop.
type verb int

const (
	next verb = iota
	back
	stop
)

// frontStep does one step of the rules.
func (x *Proxy) frontStep(ctx context.Context, j *job, step rules.Step) verb {
	switch step {
	case rules.StepPick:
		return x.nominate(ctx, j)
	case rules.StepDeliver:
		return x.handOver(ctx, j)
	case rules.StepEvaluate:
		return x.weigh(ctx, j)
	}
	return stop
}

// run is the interpreter: it runs the steps that the path was compiled to.
func (x *Proxy) run(ctx context.Context, j *job) {
	for at := 0; at < len(j.arm.Steps); {
		switch x.frontStep(ctx, j, j.arm.Steps[at]) {
		case next:
			at++
		case back:
			at = 0
		case stop:
			if !x.persists(ctx, j) {
				return
			}
			at = 0
		}
	}
}

// nominate picks a worker. A lookup that finds nothing is tried again with a
// short backoff; after that the job is given up at once.
func (x *Proxy) nominate(ctx context.Context, j *job) verb {
	for {
		if ctx.Err() != nil {
			j.why = "no time left"
			return stop
		}
		all := x.rep.Lookup(j.service)
		e, ok := x.pick.Pick(all, balancer.PickRequest{Route: j.path.Name, Target: time.Until(j.first.Add(j.arm.Target)), Bulk: j.arm.Bulk != "", Repeatable: j.arm.Repeatable, Delay: x.wait(j), Tried: j.tried})
		// The own worker's door is seen from here: shut, it costs no send.
		if ok && x.shutHere(e) {
			x.pick.RecordOutcome(balancer.Outcome{Worker: e.Worker, UsedSlots: -1})
			j.tried[e.Worker] = true
			continue
		}
		if ok {
			j.entry, j.known = e, len(all)
			break
		}
		if j.calm() {
			continue
		}
		if j.sends > 0 || j.looks >= replica.DefaultRetries || !x.rep.Backoff(ctx, j.looks) {
			if j.why == "" {
				// One that starts is known everywhere after a beat or two.
				j.why, j.come = "no worker of "+j.service+" is up", x.Settings.WorkerTimeout()
			}
			return stop
		}
		j.looks++
		j.tried = map[string]bool{}
	}
	if j.sends == 0 {
		// Calls of a repeated run are repeats as well.
		j.part = x.calls.meet(j.path.Name, j.service)
	}
	// As long as none is known to have come, each send may be the first there.
	if j.fresh = j.came == 0; j.fresh {
		x.again.RecordNestedCall(j.service, j.part)
	}
	// Only what comes to a worker after the first is a repeat there; what an
	// owner refused by itself cost no worker anything.
	paid := j.came == 0 || x.again.Allow(j.service)
	if j.unpaid = !paid && j.borrows; !paid && !j.unpaid {
		x.pick.RecordOutcome(balancer.Outcome{Worker: j.entry.Worker, UsedSlots: -1})
		j.why += "; no repeats are left"
		// Whoever comes back needs what the last refusal lacked; when that one
		// named no time, what lacks is a repeat.
		if j.come == 0 {
			j.come = x.again.EstimateWait(j.service)
		}
		return stop
	}
	return next
}

// shutHere tells that a worker is this node's own and takes nothing just now.
func (x *Proxy) shutHere(e ormap.Entry) bool {
	if e.Owner != x.Settings.Node {
		return false
	}
	g := x.gateOf(e.Worker)
	return g == nil || !x.takes(g)
}

// handOver sends one attempt to the owner of the nominated worker.
func (x *Proxy) handOver(ctx context.Context, j *job) verb {
	j.sends++
	j.tried[j.entry.Worker] = true
	left := time.Until(j.end)
	h := protocol.AttemptRequest{RequestID: j.id, AttemptID: fmt.Sprintf("%s.%d", j.id, j.sends), Route: j.path.Name, Arm: j.arm.Name,
		ConfigVersion: j.rules.Version, Service: j.service, Class: j.arm.Class, Worker: j.entry.Worker,
		Host: j.req.Host, Method: j.req.Method, URI: j.req.URL.RequestURI(), Header: x.passed(j.req.Header), Body: j.body, TimeoutMS: left.Milliseconds(),
		WorkerAttemptID: j.said, CallerService: x.set().Service, Retry: j.came > 0, NestedRetryShare: j.part, Confidence: j.word, MaxQueueMS: x.queueWaitBound().Milliseconds(), IngressWaitMS: x.waitLeft(), Repeatable: j.arm.Repeatable, UsualRunMS: x.usual(j.path.Name).Milliseconds(), AllowUnfinishedRun: j.hedged || j.lost != nil, AllowStoppingNode: j.any, NeedsRetryBudget: j.unpaid,
		TargetMS: time.Until(j.first.Add(j.arm.Target)).Milliseconds(), ResentByCaller: j.first.Before(j.from)}
	if x.say.KeepsAttemptID {
		h.URI = origin(j.req)
	}
	if h.TimeoutMS <= 0 {
		j.back = protocol.AttemptResult{Outcome: protocol.Refused, Reason: "no time left", UsedSlots: -1}
		x.pick.RecordOutcome(balancer.Outcome{Worker: j.entry.Worker, UsedSlots: -1})
		return next
	}
	h.NoQueue = x.rushes(j)
	j.boundRequeue(&h)
	from := time.Now()
	a, ctx := x.beginAttempt(transport.WithLane(ctx, x.lane(j)), j, h.AttemptID)
	back := x.send(ctx, j, h)
	if a != nil {
		// From here on the request is changed by nobody else.
		a.close(h.AttemptID)
		defer a.end()
		defer a.settle()
	}
	j.back = back
	if j.back.Outcome == protocol.Done {
		x.kin.told(j.path.Name, j.back.CalledByRequests)
	}
	if j.back.ReachedWorker || j.back.Outcome == protocol.Unknown {
		j.came++
	} else {
		j.waited += time.Since(from)
	}
	// An answer larger than was expected is there all the same.
	if n := len(j.back.Body); j.back.Outcome == protocol.Done {
		if more := int64(n) - x.load.expects(j.path.Name); more > 0 {
			x.load.force(more)
			j.took += more
		}
		x.load.answered(j.path.Name, n)
	}
	if j.back.CalledByRequests {
		x.calls.marks(j.path.Name)
	}
	// Only what the worker itself did speaks of its fitness.
	counts := j.back.Outcome != protocol.Refused && !transport.CanceledByCaller(ctx)
	ok := j.back.Outcome == protocol.Done && j.back.Status < 500
	x.pick.RecordOutcome(balancer.Outcome{Worker: j.entry.Worker, Service: j.service, Route: j.path.Name, UsedSlots: j.back.UsedSlots,
		Report: balancer.WorkerReport{PaceEighths: j.back.PaceEighths, FailedPer64: j.back.FailedPer64}, RoundTrip: time.Since(from),
		RunTime: time.Duration(j.back.RunMicros) * time.Microsecond, MissedTarget: time.Since(j.from) > j.arm.Target, OK: ok, AboutWorker: counts})
	return next
}

// send has an attempt run, here or at another node.
func (x *Proxy) send(ctx context.Context, j *job, h protocol.AttemptRequest) protocol.AttemptResult {
	if j.entry.Owner == x.Settings.Node {
		return x.own(ctx, h)
	}
	return x.away(ctx, j, h)
}

// noReceipt is why an attempt ends whose owner, or the link to it, said no more.
const noReceipt = "no receipt from the owner"

// away hands the attempt over to another node and checks what comes back.
func (x *Proxy) away(ctx context.Context, j *job, h protocol.AttemptRequest) protocol.AttemptResult {
	// A large body waits for the link no longer than for a slot.
	if j.arm.Bulk != "" {
		ctx = transport.WithSendDeadline(ctx, time.Now().Add(x.queueWaitBound()))
	}
	b, err := transport.Call[protocol.AttemptResult](ctx, x.n, j.entry.InternalAddr, "job.hand", h)
	come, full := transport.IsLinkFull(err)
	switch {
	case err == nil:
	case full:
		return x.thin(come)
	case transport.CanceledByCaller(ctx):
		// It says nothing of the owner that nobody waited for it.
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: "the caller has left", UsedSlots: -1}
	case fault.Is(err, fault.Unsent), fault.Is(err, fault.Refused):
		x.pick.Exclude(j.entry.Owner, x.Settings.ConfigBound/2)
		return protocol.AttemptResult{Outcome: protocol.Refused, Reason: "owner can't be reached", RetryAfterMS: (x.Settings.ConfigBound / 2).Milliseconds(), UsedSlots: -1}
	case shutdown.IsCutoff(ctx):
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: whyEnding, UsedSlots: -1}
	default:
		x.pick.Exclude(j.entry.Owner, x.Settings.ConfigBound/2)
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: noReceipt, TimedOut: ctx.Err() != nil, UsedSlots: -1}
	}
	// The answer is checked again here: it must be for this very attempt.
	if b.Outcome == protocol.Done && (b.Worker != h.Worker || x.say.VerifiesDigest && b.Digest != responsedigest.Of(h.AttemptID, h.Worker, b.Status, b.Body)) {
		x.e.Log.Emit(event.CorruptAnswer, "worker", h.Worker, "attempt", h.AttemptID, "owner", j.entry.Owner)
		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: "the answer's seal is broken", UsedSlots: b.UsedSlots}
	}
	return b
}
