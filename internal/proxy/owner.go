package proxy

import (
	"context"
	"time"

	"puffincrank/internal/class"
	"puffincrank/internal/event"
	"puffincrank/internal/seal"
	"puffincrank/internal/session"
	"puffincrank/internal/wire"
)

// visit is one attempt on its way through the owner.
type visit struct {
	in   session.Hand
	end  time.Time
	gate *gate
	back session.Back
	from time.Time
	held bool // a slot is taken
}

// The owner's filters, run in order until one says how the attempt ended.
var ownerSteps = []func(*Proxy, context.Context, *visit) bool{
	(*Proxy).checkNode, (*Proxy).checkRules, (*Proxy).checkGate, (*Proxy).admit, (*Proxy).deliver, (*Proxy).unseal,
}

func (x *Proxy) onHand(ctx context.Context, _ wire.Hello, in session.Hand) (session.Back, error) {
	return x.own(ctx, in), nil
}

// own runs one attempt as the owner. All doubts about whether the job may run
// are settled here, where the worker is, so that no two nodes can disagree.
func (x *Proxy) own(ctx context.Context, in session.Hand) session.Back {
	v := &visit{in: in, end: time.Now().Add(time.Duration(in.Left) * time.Millisecond)}
	// What came over a link has its time as a bound already; of an own job a
	// part may be kept for a repeat.
	if d, ok := ctx.Deadline(); !ok || d.Sub(v.end) > time.Duration(in.Left)*time.Millisecond/8 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, v.end)
		defer stop()
	}
	x.owned.Add(1)
	defer x.owned.Add(-1)
	for _, step := range ownerSteps {
		if !step(x, ctx, v) {
			break
		}
	}
	v.back.Used = -1
	if v.gate != nil {
		if v.held {
			v.gate.room.Leave(in.Class, time.Since(v.from))
		}
		used, wait, _ := v.gate.room.Load()
		v.back.Used = used + wait
	}
	return v.back
}

func (v *visit) refuse(why string) bool { return v.later(why, 0) }

// later refuses with a word on when there may be room.
func (v *visit) later(why string, come time.Duration) bool {
	v.back = session.Back{Kind: session.Refused, Why: why, Come: come.Milliseconds()}
	return false
}

// differ refuses a job whose front holds another configuration.
func (v *visit) differ(why string) bool {
	v.back = session.Back{Kind: session.Refused, Why: why, Rules: true}
	return false
}

func (v *visit) unknown(why string) bool {
	v.back = session.Back{Kind: session.Unknown, Why: why, Late: !time.Now().Before(v.end)}
	return false
}

// checkNode holds the attempt until this node is sure of its configuration
// and refuses a second arrival.
func (x *Proxy) checkNode(ctx context.Context, v *visit) bool {
	if !x.meet(v.in.Attempt, time.Duration(v.in.Left)*time.Millisecond) {
		x.e.Log.Emit(event.Twice, "attempt", v.in.Attempt)
		// The first arrival may have run, so this is not a refusal.
		return v.unknown("second arrival of one attempt")
	}
	if !x.touch.confirm(ctx, v.end) {
		return v.refuse("owner can't confirm its configuration")
	}
	return true
}

// checkRules lets a job in only if the newest configuration here still sends
// jobs of its kind to this service.
func (x *Proxy) checkRules(_ context.Context, v *visit) bool {
	r := x.rules.Load()
	if r == nil {
		return v.refuse("owner has no configuration")
	}
	if r.Version == v.in.Version {
		return true
	}
	if r.Version < v.in.Version {
		select {
		case x.touch.kick <- struct{}{}:
		default:
		}
		return v.differ("owner's configuration is older than the job's")
	}
	p := r.Match(v.in.Method, urlPath(v.in.URI))
	if p == nil || (p.Base.Service != v.in.Service && (p.Trial == 0 || p.New.Service != v.in.Service)) {
		return v.differ("a newer configuration doesn't send this job here")
	}
	if _, ok := r.Shares[v.in.Class]; !ok {
		return v.differ("a newer configuration has no such class")
	}
	return true
}

func (x *Proxy) checkGate(_ context.Context, v *visit) bool {
	v.gate = x.gateOf(v.in.Worker)
	if v.gate == nil || v.gate.service != v.in.Service {
		v.gate = nil
		return v.refuse("no such worker here")
	}
	return x.open(v)
}

// timely looks whether the attempt has time left to be delivered in.
func (x *Proxy) timely(v *visit) bool {
	return time.Now().Before(v.end) || v.refuse("no time left before delivery")
}

// open looks whether the gate's door is open just now.
func (x *Proxy) open(v *visit) bool {
	if x.takes(v.gate) {
		return true
	}
	if s := v.gate.state.Now(); s != "up" {
		return v.later("worker is "+s, x.P.Missed())
	}
	return v.later("no fresh word of the worker", 2*x.P.WorkerBeat())
}

// admit takes a slot. Waiting is bounded by a part of the time left, so that
// enough is left to run the job or to try elsewhere.
func (x *Proxy) admit(ctx context.Context, v *visit) bool {
	if why := v.gate.room.Enter(ctx, v.in.Class, time.Until(v.end)/2); why != class.In {
		return v.later(why, v.gate.room.Drain(v.in.Class))
	}
	v.held, v.from = true, time.Now()
	// The wait may have been long: all that could have changed is looked at
	// once more right before the job goes out.
	if !x.timely(v) {
		return false
	}
	if !x.touch.confirm(ctx, v.end) {
		return v.refuse("owner can't confirm its configuration")
	}
	return x.checkRules(ctx, v)
}

// unseal checks the answer whole before anything of it is passed on.
func (x *Proxy) unseal(_ context.Context, v *visit) bool {
	b := &v.back
	head := func(n string) string {
		if l := b.Head[n]; len(l) > 0 {
			return l[0]
		}
		return ""
	}
	if head(seal.Attempt) != v.in.Attempt || head(seal.Worker) != v.in.Worker || head(seal.Mark) != seal.Of(v.in.Attempt, v.in.Worker, b.Status, b.Body) {
		x.e.Log.Emit(event.Garbled, "worker", v.in.Worker, "attempt", v.in.Attempt, "status", b.Status)
		return v.unknown("the answer's seal is broken")
	}
	notRun := head(seal.Ran) == "no"
	switch {
	case b.Status == 421 || ((b.Status == 503 || b.Status == 429) && notRun):
		return v.refuse("the worker refused: " + head(seal.Why))
	case b.Status == 503 || b.Status == 429:
		// The worker's own busy doesn't promise that the job never ran.
		return v.unknown("the worker answered busy without a word on whether the job ran")
	}
	b.Kind, b.Seal, b.Worker = session.Done, head(seal.Mark), v.in.Worker
	return false
}

// evictStranger is called when another identity answers at a worker's address.
func (x *Proxy) evictStranger(g *gate) {
	if g.state.Fire("miss") {
		g.room.Close()
		x.rep.Remove(g.worker, "down")
	}
}

// uses gives the classes' use of each worker for the status.
func (x *Proxy) uses() map[string]map[string]class.Use {
	out := map[string]map[string]class.Use{}
	for _, g := range x.allGates() {
		out[g.worker] = g.room.Uses()
	}
	return out
}
