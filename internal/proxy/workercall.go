package proxy

import (
	"time"

	"puffincrank/internal/event"
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
	if _, known := x.lastCalls[call.worker]; !known && call.state != stateGone {
		x.recallEarlierState(call.worker)
	}
	x.applyIfNewest(call)
}

// applyIfNewest applies a call unless it is older than what is known of the worker here.
// x.workerCallMu is held.
func (x *Proxy) applyIfNewest(call workerCall) {
	newest := x.lastCalls[call.worker]
	outdated := call.number != 0 && call.number <= newest.number
	if call.state != stateGone && (outdated || x.hasDeparted(call.worker) || x.claimStands(call.worker)) {
		x.env.Log.Emit(event.HeartbeatOutdated, "worker", call.worker, "call", call.number, "says", call.state, "newest", newest.number, "signed_off", x.hasDeparted(call.worker))
		return
	}
	x.lastCalls[call.worker] = lastCall{max(call.number, newest.number), time.Now()}
	if call.state == stateUp {
		delete(x.recordedLeaves, call.worker)
	}
	x.applyState(call)
	x.confirmEvictions(call.worker)
}

// hasDeparted tells whether a worker is gone for good: it signed off, or another worker has had its
// address for long enough. The registry alone decides, so that it doesn't matter when or where a node learned of it.
func (x *Proxy) hasDeparted(worker string) bool { return x.replica.Map().Departed(worker) }

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
	for worker := range x.evictions {
		if _, known := x.lastCalls[worker]; !known {
			delete(x.evictions, worker)
		}
	}
	for worker := range x.recordedLeaves {
		if _, known := x.lastCalls[worker]; !known {
			delete(x.recordedLeaves, worker)
		}
	}
}
