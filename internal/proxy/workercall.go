package proxy

import (
	"strconv"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/event"
	"puffincrank/internal/ormap"
)

// States that a worker reports of itself.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateGone     = "gone" // it signed off
)

// reasonSignedOff is why an entry is removed when the worker itself signed off.
const reasonSignedOff = "signed off"

// workerCall is one call of a worker, or a registry entry taken over after a restart.
type workerCall struct {
	worker  string // the worker's ID, a new one at each of its starts
	service string
	addr    string
	slots   int
	state   string
	warmup  time.Duration // how much longer it is slow after its start
	number  int64         // increases with each call of a worker; 0 if the call has none
}

// lastCall is the newest accepted call of a worker. It is kept longer than the worker itself.
type lastCall struct {
	number int64
	at     time.Time
}

// handleCall accepts a worker's call unless it is older than what is known of the worker. The
// check and its effects are atomic: of two concurrent calls the newer one stands.
//
// A sign-off is final, whatever number a later call has: worker IDs are never reused, so a call
// that still arrives was sent before.
func (x *Proxy) handleCall(call workerCall) {
	x.workerCallMu.Lock()
	defer x.workerCallMu.Unlock()
	x.applyCallLocked(call)
}

// applyCallLocked is handleCall with x.workerCallMu held.
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

// hasDeparted tells whether a worker is gone for good: it signed off here, or the registry says
// so. x.workerCallMu is held.
func (x *Proxy) hasDeparted(worker string) bool {
	_, here := x.departures[worker]
	return here || x.replica.Map().Departed(worker)
}

// recordDeparture records that a worker signed off, or that another worker has its address. Its
// entries are removed for good, here and at every node that refills this one. x.workerCallMu is
// held.
func (x *Proxy) recordDeparture(worker, reason string) {
	x.departures[worker] = time.Now()
	x.replica.SignOffWorker(worker, reason)
}

// expireCalls drops the state of workers that have not called for longer than the tombstone
// TTL.
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

// adoptEarlierWorker takes over the local worker's entry from an earlier start of this node.
// Otherwise the worker would be idle until its next heartbeat, or an old heartbeat could mark
// it as up after it had reported that it is draining. This is done only where the platform sets
// the worker's address; if another worker has that address by now, it refuses requests that are
// not for it.
func (x *Proxy) adoptEarlierWorker() {
	x.workerCallMu.Lock()
	defer x.workerCallMu.Unlock()
	// These signed off before this node knew what its earlier start had registered.
	for worker := range x.departures {
		x.replica.SignOffWorker(worker, reasonSignedOff)
	}
	conf := x.currentSettings()
	if conf.WorkerAddr == "" || x.dialect.IdentifiesConns {
		return
	}
	earlier := x.replica.Map().Live(func(e ormap.Entry) bool {
		return e.Owner == x.Settings.Node && e.Dot.Node != x.replica.DotNode() && e.Meta["addr"] == conf.WorkerAddr && e.Service == conf.Service
	})
	if len(earlier) == 0 || len(x.allWorkers()) > 0 {
		return
	}
	latest := earlier[0]
	for _, e := range earlier {
		// With two workers, one of them is gone, and it is not known which.
		if e.Worker != latest.Worker {
			return
		}
		// Control plane machines may have kept older entries of the same worker too.
		if latest.Dot.Compare(e.Dot) < 0 {
			latest = e
		}
	}
	number, _ := strconv.ParseInt(latest.Meta["call"], 10, 64)
	x.applyCallLocked(workerCall{worker: latest.Worker, service: latest.Service, addr: latest.Meta["addr"], slots: balancer.Slots(latest), state: latest.Meta["state"], number: number})
	if local := x.findWorker(latest.Worker); local != nil && local.state.Is("draining") {
		// How long it has been draining is unknown, so it gets no more requests.
		local.mu.Lock()
		local.drainingSince = time.Time{}
		local.mu.Unlock()
		local.admission.Close()
	}
}
