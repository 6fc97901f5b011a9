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
	stateUp       = "up"
	stateDraining = "draining"
	stateGone     = "gone" // it signed off
)

// reasonSignedOff is why a worker's entry is removed when the worker itself said so.
const reasonSignedOff = "signed off"

// workerCall is one call of a worker, or what takes its place after a restart.
type workerCall struct {
	worker  string // its identity, a new one at each start of a worker
	service string
	addr    string
	slots   int
	state   string
	warmup  time.Duration // how much longer it is slow from its start
	number  int64         // rises with each call of a worker; 0: it bears none
}

// lastCall is the newest call that was taken of a worker. It outlives the gate.
type lastCall struct {
	number int64
	at     time.Time
}

// handleCall takes a worker's call, if it is no older than what is known of the
// worker. Whether it is, and what follows from it, are one step: of two calls that
// come at once the newer one stands.
//
// A sign-off is the last word of a worker, whatever number a later call bears: an
// identity is never used again, so what still comes was on its way.
func (x *Proxy) handleCall(call workerCall) {
	x.workerCallMu.Lock()
	defer x.workerCallMu.Unlock()
	x.applyCallLocked(call)
}

// applyCallLocked does so; x.calling is held.
func (x *Proxy) applyCallLocked(call workerCall) {
	newest := x.lastCalls[call.worker]
	outdated := call.number != 0 && call.number <= newest.number
	if call.state != stateGone && (outdated || x.hasDeparted(call.worker)) {
		x.env.Log.Emit(event.HeartbeatOutdated, "worker", call.worker, "call", call.number, "says", call.state, "newest", newest.number, "signed_off", x.hasDeparted(call.worker))
		return
	}
	x.lastCalls[call.worker] = lastCall{max(call.number, newest.number), time.Now()}
	if call.state == stateUp {
		delete(x.recordedLeaves, call.worker)
	}
	x.applyState(call)
}

// hasDeparted tells whether a worker is gone for good: it signed off here, or the
// mesh knows of it. x.calling is held.
func (x *Proxy) hasDeparted(worker string) bool {
	_, here := x.departures[worker]
	return here || x.replica.Map().Departed(worker)
}

// recordDeparture takes a worker's sign-off, or that another has its address. What others
// know of it is removed for good, here and wherever it is refilled from. x.calling
// is held.
func (x *Proxy) recordDeparture(worker, reason string) {
	x.departures[worker] = time.Now()
	x.replica.SignOffWorker(worker, reason)
}

// expireCalls drops what is remembered of workers that have not called for longer
// than tombstones are kept.
func (x *Proxy) expireCalls() {
	x.workerCallMu.Lock()
	defer x.workerCallMu.Unlock()
	for worker, last := range x.lastCalls {
		if x.findWorker(worker) == nil && time.Since(last.at) > x.Settings.TombstoneTTL() {
			delete(x.lastCalls, worker)
		}
	}
	for worker := range x.recordedLeaves {
		if _, known := x.lastCalls[worker]; !known {
			delete(x.recordedLeaves, worker)
		}
	}
	for worker, at := range x.departures {
		if time.Since(at) > x.Settings.TombstoneTTL() {
			delete(x.departures, worker)
		}
	}
}

// adoptEarlierWorker takes up the own worker's entry of an earlier start: it would else stand
// idle until its next beat, or be taken for one that is up by a beat of before it
// said that it is draining. Only where the platform says which address is the own
// worker's; should another stand there by now, it refuses what isn't its.
func (x *Proxy) adoptEarlierWorker() {
	x.workerCallMu.Lock()
	defer x.workerCallMu.Unlock()
	// Who signed off before this node knew what its earlier start had registered.
	for worker := range x.departures {
		x.replica.SignOffWorker(worker, reasonSignedOff)
	}
	conf := x.currentSettings()
	if conf.WorkerAddr == "" || x.dialect.IdentifiesConns {
		return
	}
	earlier := x.replica.Map().Live(func(e ormap.Entry) bool {
		return e.Owner == x.Settings.Node && e.Dot.Node != x.replica.Dot() && e.Meta["addr"] == conf.WorkerAddr && e.Service == conf.Service
	})
	if len(earlier) == 0 || len(x.allWorkers()) > 0 {
		return
	}
	latest := earlier[0]
	for _, e := range earlier {
		// Two workers would mean that one of them is over, and not which.
		if e.Worker != latest.Worker {
			return
		}
		// Core machines may have kept one worker's earlier entries too.
		if latest.Dot.Compare(e.Dot) < 0 {
			latest = e
		}
	}
	number, _ := strconv.ParseInt(latest.Meta["call"], 10, 64)
	x.applyCallLocked(workerCall{worker: latest.Worker, service: latest.Service, addr: latest.Meta["addr"], slots: balancer.Slots(latest), state: latest.Meta["state"], number: number})
	if local := x.findWorker(latest.Worker); local != nil && local.state.Is("draining") {
		// How long it has been leaving isn't known, so nothing more goes in.
		local.mu.Lock()
		local.drainingSince = time.Time{}
		local.mu.Unlock()
		local.admission.Close()
	}
}
