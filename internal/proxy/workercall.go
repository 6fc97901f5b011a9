package proxy

import (
	"strconv"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/event"
	"puffincrank/internal/ormap"
)

// What a worker says of itself.
const (
	saysUp       = "up"
	saysDraining = "draining"
	saysGone     = "gone" // it signed off
)

// signedOff is why a worker's entry is removed when the worker itself said so.
const signedOff = "signed off"

// workerCall is one call of a worker, or what takes its place after a restart.
type workerCall struct {
	worker  string // its identity, a new one at each start of a worker
	service string
	addr    string
	slots   int
	state   string
	cold    time.Duration // how much longer it is slow from its start
	number  int64         // rises with each call of a worker; 0: it bears none
}

// lastCall is the newest call that was taken of a worker. It outlives the gate.
type lastCall struct {
	number int64
	at     time.Time
}

// takeCall takes a worker's call, if it is no older than what is known of the
// worker. Whether it is, and what follows from it, are one step: of two calls that
// come at once the newer one stands.
//
// A sign-off is the last word of a worker, whatever number a later call bears: an
// identity is never used again, so what still comes was on its way.
func (x *Proxy) takeCall(c workerCall) {
	x.calling.Lock()
	defer x.calling.Unlock()
	x.applyCall(c)
}

// applyCall does so; x.calling is held.
func (x *Proxy) applyCall(c workerCall) {
	newest := x.lastCalls[c.worker]
	late := c.number != 0 && c.number <= newest.number
	if c.state != saysGone && (late || x.departed(c.worker)) {
		x.e.Log.Emit(event.HeartbeatOutdated, "worker", c.worker, "call", c.number, "says", c.state, "newest", newest.number, "signed_off", x.departed(c.worker))
		return
	}
	x.lastCalls[c.worker] = lastCall{max(c.number, newest.number), time.Now()}
	if c.state == saysUp {
		delete(x.kept, c.worker)
	}
	x.beat(c)
}

// departed tells whether a worker is gone for good: it signed off here, or the
// mesh knows of it. x.calling is held.
func (x *Proxy) departed(worker string) bool {
	_, here := x.departures[worker]
	return here || x.rep.Map().Departed(worker)
}

// depart takes a worker's sign-off, or that another has its address. What others
// know of it is removed for good, here and wherever it is refilled from. x.calling
// is held.
func (x *Proxy) depart(worker, why string) {
	x.departures[worker] = time.Now()
	x.rep.SignOffWorker(worker, why)
}

// forgetCalls drops what is remembered of workers that have not called for longer
// than tombstones are kept.
func (x *Proxy) forgetCalls() {
	x.calling.Lock()
	defer x.calling.Unlock()
	for worker, last := range x.lastCalls {
		if x.gateOf(worker) == nil && time.Since(last.at) > x.Settings.TombstoneTTL() {
			delete(x.lastCalls, worker)
		}
	}
	for worker := range x.kept {
		if _, known := x.lastCalls[worker]; !known {
			delete(x.kept, worker)
		}
	}
	for worker, at := range x.departures {
		if time.Since(at) > x.Settings.TombstoneTTL() {
			delete(x.departures, worker)
		}
	}
}

// adopt takes up the own worker's entry of an earlier start: it would else stand
// idle until its next beat, or be taken for one that is up by a beat of before it
// said that it is draining. Only where the platform says which address is the own
// worker's; should another stand there by now, it refuses what isn't its.
func (x *Proxy) adopt() {
	x.calling.Lock()
	defer x.calling.Unlock()
	// Who signed off before this node knew what its earlier start had registered.
	for worker := range x.departures {
		x.rep.SignOffWorker(worker, signedOff)
	}
	p := x.set()
	if p.WorkerAddr == "" || x.say.IdentifiesConns {
		return
	}
	old := x.rep.Map().Live(func(e ormap.Entry) bool {
		return e.Owner == x.Settings.Node && e.Dot.Node != x.rep.DotNode() && e.Meta["addr"] == p.WorkerAddr && e.Service == p.Service
	})
	if len(old) == 0 || len(x.allGates()) > 0 {
		return
	}
	last := old[0]
	for _, e := range old {
		// Two workers would mean that one of them is over, and not which.
		if e.Worker != last.Worker {
			return
		}
		// Core machines may have kept one worker's earlier entries too.
		if last.Dot.Compare(e.Dot) < 0 {
			last = e
		}
	}
	number, _ := strconv.ParseInt(last.Meta["call"], 10, 64)
	x.applyCall(workerCall{worker: last.Worker, service: last.Service, addr: last.Meta["addr"], slots: balancer.Slots(last), state: last.Meta["state"], number: number})
	if g := x.gateOf(last.Worker); g != nil && g.state.Is("draining") {
		// How long it has been leaving isn't known, so nothing more goes in.
		g.mu.Lock()
		g.leaves = time.Time{}
		g.mu.Unlock()
		g.room.Close()
	}
}
