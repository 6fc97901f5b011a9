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

// visit is one attempt on its way through the owner.
type visit struct {
	in    protocol.AttemptRequest
	end   time.Time
	last  time.Time // when its front waits for answers no more; zero if it wasn't told to end
	gate  *gate
	back  protocol.AttemptResult
	from  time.Time
	held  bool               // a slot is taken
	runs  bool               // it was begun at the worker
	part  float64            // how far the run is a repeat
	calls map[string]float64 // held for the calls of a repeat
	run   *balancer.ActiveRun
	mute  bool   // the worker took no connection
	stale bool   // it had forgotten a kept connection
	cut   string // why its run was ended from here; "" if it was not
	lane  int    // that it came by
	free  func() // gives back what was booked for its answer
	ask   admission.Request
	holds uint64 // the version held here, where it isn't the job's
}

// The owner's filters, run in order until one says how the attempt ended.
var ownerSteps = []func(*Proxy, context.Context, *visit) bool{
	(*Proxy).checkNode, (*Proxy).checkRules, (*Proxy).checkGate, (*Proxy).book, (*Proxy).admit, (*Proxy).deliver, (*Proxy).unseal,
}

// own runs one attempt as the owner. All doubts about whether the job may run
// are settled here, where the worker is, so that no two nodes can disagree.
func (x *Proxy) own(ctx context.Context, in protocol.AttemptRequest) protocol.AttemptResult {
	v := &visit{in: in, end: time.Now().Add(time.Duration(in.TimeoutMS) * time.Millisecond)}
	// What came over a link has its time as a bound already, less what it spent
	// on the way; of an own job a part may be kept for a repeat.
	if d, ok := ctx.Deadline(); ok && d.Before(v.end) {
		v.end = d
	} else if !ok || d.Sub(v.end) > time.Duration(in.TimeoutMS)*time.Millisecond/8 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, v.end)
		defer stop()
	}
	// Counted from when it was handed over, as its time left is.
	if in.IngressWaitMS > 0 {
		v.last = v.end.Add(time.Duration(in.IngressWaitMS-in.TimeoutMS) * time.Millisecond)
	}
	x.owned.Add(1)
	defer x.owned.Add(-1)
	for _, step := range ownerSteps {
		if !step(x, ctx, v) {
			break
		}
	}
	if v.back.Outcome == protocol.Refused && !v.back.ReachedWorker {
		x.step(v, stepRefused, v.back.Reason)
	}
	if v.back.Outcome == protocol.Unknown {
		x.step(v, stepUnknown, v.back.Reason)
	}
	if plan := x.stop.Load(); plan != nil && v.back.Outcome != protocol.Done {
		v.back.StoppingForMS = max(plan.Elapsed().Milliseconds(), 1)
	}
	v.back.UsedSlots, v.back.CalledByRequests = -1, v.ask.Nested
	if v.gate != nil {
		x.ended(v)
		x.unbook(v)
		if v.held {
			if v.back.Outcome == protocol.Done {
				took := time.Since(v.from)
				v.gate.ran(in.Route, took, len(v.back.Body))
				v.back.RunMicros = took.Microseconds()
			}
			v.gate.room.Release(v.ask, time.Since(v.from))
			x.measure(v)
		}
		used, wait, _ := v.gate.room.Load()
		v.back.UsedSlots = used + wait
		w := v.gate.own.Report()
		v.back.PaceEighths, v.back.FailedPer64 = w.PaceEighths, w.FailedPer64
	}
	return v.back
}

func (v *visit) refuse(why string) bool { return v.later(why, 0) }

// later refuses with a word on when there may be room.
func (v *visit) later(why string, come time.Duration) bool {
	v.back = protocol.AttemptResult{Outcome: protocol.Refused, Reason: why, RetryAfterMS: come.Milliseconds()}
	return false
}

// differ refuses a job whose front holds another configuration.
func (v *visit) differ(why string) bool {
	v.back = protocol.AttemptResult{Outcome: protocol.Refused, Reason: why, ConfigMismatch: true, ConfigVersion: v.holds}
	return false
}

func (v *visit) unknown(why string) bool {
	v.back = protocol.AttemptResult{Outcome: protocol.Unknown, Reason: why, TimedOut: !time.Now().Before(v.end), ReachedWorker: v.back.ReachedWorker}
	return false
}

// checkNode holds the attempt until this node is sure of its configuration
// and refuses a second arrival.
func (x *Proxy) checkNode(ctx context.Context, v *visit) bool {
	if !x.meet(v.in.AttemptID, time.Duration(v.in.TimeoutMS)*time.Millisecond) {
		x.e.Log.Emit(event.DuplicateAttempt, "attempt", v.in.AttemptID)
		// The first arrival may have run, so this is not a refusal.
		return v.unknown("second arrival of one attempt")
	}
	// Others may know this node's worker before it has its own rules.
	x.begins(ctx, time.Until(v.end)/4)
	return x.sure(ctx, v)
}

// sure tells whether the job may run by what is held here. A bound on changes
// counts from when a job was sent: one whose front was sure after it had read it
// may run by that version whenever it does. A front that was not needs an owner
// that is; when both are out of touch, both act by what they have.
func (x *Proxy) sure(ctx context.Context, v *visit) bool {
	if v.in.Confidence == protocol.Confirmed {
		return true
	}
	if w := x.confirm(ctx, v.end); w == protocol.Confirmed || w == protocol.Disconnected && v.in.Confidence != protocol.Unconfirmed {
		return true
	}
	return v.refuse("owner can't confirm its configuration")
}

// checkRules lets a job in only if the newest configuration here still sends
// jobs of its kind to this service. A front that was sure of an older one when it
// had read the job may go by it; one that said that it was not takes the newer
// one from here first, since its own may have been replaced long ago.
func (x *Proxy) checkRules(_ context.Context, v *visit) bool {
	r := x.rules.Load()
	if r == nil {
		return v.refuse("owner has no configuration")
	}
	if r.Version == v.in.ConfigVersion {
		return true
	}
	v.holds = r.Version
	if r.Version < v.in.ConfigVersion {
		x.touch.HeartbeatNow()
		return v.differ("owner's configuration is older than the job's")
	}
	if v.in.Confidence == protocol.Disconnected || v.in.Confidence == protocol.Unconfirmed {
		return v.differ("a newer configuration is known than the job's front was sure of")
	}
	p := r.Match(v.in.Host, v.in.Method, urlPath(v.in.URI))
	if p == nil || (!p.Base.RoutesTo(v.in.Service) && (p.Trial == 0 || !p.New.RoutesTo(v.in.Service))) {
		return v.differ("a newer configuration doesn't send this job here")
	}
	if _, ok := r.Shares[v.in.Class]; !ok {
		return v.differ("a newer configuration has no such class")
	}
	return true
}

func (x *Proxy) checkGate(_ context.Context, v *visit) bool {
	x.kin.meet(v.in.Route, v.in.CallerService)
	v.gate = x.gateOf(v.in.Worker)
	if v.gate == nil || v.gate.service != v.in.Service {
		v.gate = nil
		return v.refuse("no such worker here")
	}
	return x.open(v)
}

// timely looks whether somebody still waits for the attempt, and whether it has
// time left to be delivered in.
func (x *Proxy) timely(ctx context.Context, v *visit) bool {
	if transport.CanceledByCaller(ctx) {
		return v.refuse(whyLeft)
	}
	if shutdown.IsCutoff(ctx) {
		return v.refuse(whyEnding)
	}
	return time.Now().Before(v.end) || v.refuse("no time left before delivery")
}

// open looks whether the gate's door is open just now.
func (x *Proxy) open(v *visit) bool {
	if x.takes(v.gate) {
		return true
	}
	if s := v.gate.state.Current(); s != "up" {
		return v.later("worker is "+s, x.Settings.WorkerTimeout())
	}
	return v.later("no fresh word of the worker", 2*x.Settings.WorkerHeartbeat())
}

// admit takes a slot. Waiting is bounded by a part of the time left, so that
// enough is left to run the job or to try elsewhere.
func (x *Proxy) admit(ctx context.Context, v *visit) bool {
	// Jobs that hang say nothing by themselves; those that come find them.
	x.doubt(v.gate)
	if !x.endsInTime(v) {
		return false
	}
	v.ask = admission.Request{Class: v.in.Class, MaxWait: x.queueWait(v), Nested: x.kin.inner(v.in.Route), Priority: v.rank()}
	if v.in.NoQueue {
		v.ask.MaxWait = 0
	}
	if why := v.gate.room.Acquire(ctx, v.ask); why != admission.Admitted {
		v.later(why, v.gate.room.EstimateDrain(v.in.Class))
		v.back.NoFreeSlot = v.in.NoQueue && (why == admission.QueueFull || why == admission.NoTimeLeft)
		return false
	}
	v.held, v.from, v.lane = true, time.Now(), x.begin(ctx)
	v.run = v.gate.own.RunStarted(x.pick.UsualRunMS(v.in.Route))
	// The wait may have been long: all that could have changed is looked at
	// once more right before the job goes out.
	if !x.timely(ctx, v) || !x.endsInTime(v) {
		return false
	}
	return x.sure(ctx, v) && x.checkRules(ctx, v)
}
