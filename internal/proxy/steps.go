package proxy

import (
	"context"
	"fmt"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/replica"
	"puffincrank/internal/rules"
	"puffincrank/internal/seal"
	"puffincrank/internal/session"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// verb is what a step says: go on with the next, go back to the nomination,
// or stop.
type verb int

const (
	next verb = iota
	back
	stop
)

// frontSteps is what each step of the rules does.
var frontSteps = map[rules.Step]func(*Proxy, context.Context, *job) verb{
	rules.Nominate: (*Proxy).nominate,
	rules.HandOver: (*Proxy).handOver,
	rules.Weigh:    (*Proxy).weigh,
	rules.Receipt:  func(*Proxy, context.Context, *job) verb { return stop },
}

// run is the interpreter: it runs the steps that the path was compiled to.
func (x *Proxy) run(ctx context.Context, j *job) {
	for at := 0; at < len(j.arm.Steps); {
		switch frontSteps[j.arm.Steps[at]](x, ctx, j) {
		case next:
			at++
		case back:
			at = 0
		case stop:
			return
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
		all := x.rep.Lookup(j.arm.Service)
		e, ok := x.pick.Pick(all, j.tried)
		// The own worker's door is seen from here: shut, it costs no send.
		if ok && x.shutHere(e) {
			x.pick.Done(e.Worker, -1, 0, true, false)
			j.tried[e.Worker] = true
			continue
		}
		if ok {
			j.entry = e
			break
		}
		if j.sends > 0 || j.looks >= replica.Retries || !x.rep.Pause(ctx, j.looks) {
			if j.why == "" {
				// One that starts is known everywhere after a beat or two.
				j.why, j.come = "no worker of "+j.arm.Service+" is up", x.P.Missed()
			}
			return stop
		}
		j.looks++
		j.tried = map[string]bool{}
	}
	if j.sends == 0 {
		x.again.First(j.arm.Service)
		return next
	}
	if !x.again.Again(j.arm.Service) {
		x.pick.Done(j.entry.Worker, -1, 0, true, false)
		j.why += "; no repeats are left"
		// Whoever comes back needs what the last refusal lacked; when that one
		// named no time, what lacks is a repeat.
		if j.come == 0 {
			j.come = x.again.When(j.arm.Service)
		}
		return stop
	}
	return next
}

// shutHere tells that a worker is this node's own and takes nothing just now.
func (x *Proxy) shutHere(e ormap.Entry) bool {
	if e.Owner != x.P.Node {
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
	// A job that may be sent again keeps some time for it, if a repeat is to
	// be had at all.
	if j.arm.Safe && j.sends < j.arm.Tries && x.again.Could(j.arm.Service) {
		left = left * 6 / 10
	}
	h := session.Hand{Job: j.id, Attempt: fmt.Sprintf("%s.%d", j.id, j.sends), Path: j.path.Name, Arm: j.arm.Name,
		Version: j.rules.Version, Service: j.arm.Service, Class: j.arm.Class, Worker: j.entry.Worker,
		Method: j.req.Method, URI: j.req.URL.RequestURI(), Head: passed(j.req.Header), Body: j.body, Left: left.Milliseconds()}
	if h.Left <= 0 {
		j.back = session.Back{Kind: session.Refused, Why: "no time left", Used: -1}
		x.pick.Done(j.entry.Worker, -1, 0, true, false)
		return next
	}
	from := time.Now()
	if j.entry.Owner == x.P.Node {
		j.back = x.own(ctx, h)
	} else {
		j.back = x.away(ctx, j, h, left)
	}
	// Only what the worker itself did speaks of its fitness.
	counts := j.back.Kind != session.Refused
	ok := j.back.Kind == session.Done && j.back.Status < 500
	x.pick.Done(j.entry.Worker, j.back.Used, time.Since(from), ok, counts)
	return next
}

// away hands the attempt over to another node and checks what comes back.
func (x *Proxy) away(ctx context.Context, j *job, h session.Hand, left time.Duration) session.Back {
	if time.Until(j.end)-left > left/8 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, left)
		defer end()
	}
	b, err := wire.Ask[session.Back](ctx, x.n, j.entry.Inner, "job.hand", h)
	switch {
	case err == nil:
	case fault.Is(err, fault.Unsent), fault.Is(err, fault.Refused):
		x.pick.Shun(j.entry.Owner, x.P.Change/2)
		return session.Back{Kind: session.Refused, Why: "owner can't be reached", Come: (x.P.Change / 2).Milliseconds(), Used: -1}
	default:
		x.pick.Shun(j.entry.Owner, x.P.Change/2)
		return session.Back{Kind: session.Unknown, Why: "no receipt from the owner", Late: ctx.Err() != nil, Used: -1}
	}
	// The answer is checked again here: it must be for this very attempt.
	if b.Kind == session.Done && (b.Worker != h.Worker || b.Seal != seal.Of(h.Attempt, h.Worker, b.Status, b.Body)) {
		x.e.Log.Emit(event.Garbled, "worker", h.Worker, "attempt", h.Attempt, "owner", j.entry.Owner)
		return session.Back{Kind: session.Unknown, Why: "the answer's seal is broken", Used: b.Used}
	}
	return b
}

// weigh decides what follows an attempt.
func (x *Proxy) weigh(ctx context.Context, j *job) verb {
	more := j.sends < j.arm.Tries && ctx.Err() == nil && time.Now().Before(j.end)
	switch j.back.Kind {
	case session.Done:
		return next
	case session.Refused:
		// Certain that it did not run: another may have it.
		j.why = j.back.Why
		j.come = max(j.come, time.Duration(j.back.Come)*time.Millisecond)
		if j.back.Rules && more {
			x.rematch(ctx, j)
		}
		if more {
			return back
		}
		return stop
	}
	if j.unknown == nil {
		b := j.back
		j.unknown = &b
	}
	// It may have run, so only a path declared safe is tried again.
	if j.arm.Safe && more {
		return back
	}
	return stop
}

// rematch pins a job to the newest rules after an owner refused it for its
// old ones: a change that passes by must not cost a caller an error.
func (x *Proxy) rematch(ctx context.Context, j *job) {
	for range 4 {
		r := x.rules.Load()
		if r.Version != j.rules.Version {
			if p := r.Match(j.req.Method, j.req.URL.EscapedPath()); p != nil {
				j.rules, j.path, j.arm = r, p, p.Arm(j.id)
				j.tried = map[string]bool{}
			}
			return
		}
		select {
		case x.touch.kick <- struct{}{}:
		default:
		}
		task.Pause(ctx, x.P.Beat()/8)
	}
	// The owner was the one behind: it has had the time to catch up.
	delete(j.tried, j.entry.Worker)
}
