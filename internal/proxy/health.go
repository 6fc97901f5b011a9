package proxy

import (
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/admission"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
)

// connFailureWeight is how many failed jobs it is worth that the worker takes no connection.
const connFailureWeight = 4

// recordRun takes in what an attempt that held a slot showed of the worker. All
// of a worker's jobs pass here, however many fronts there are.
func (x *Proxy) recordRun(attempt *ownerAttempt) {
	result, stats, route := &attempt.result, attempt.worker.stats, attempt.req.Route
	ms := stats.RunEnded(attempt.activeRun)
	usual := x.balancer.UsualRunMS(route)
	switch {
	case attempt.cutReason != "":
		// It was ended from here.
		return
	case attempt.connForgotten:
		// It forgot a connection that idled: a matter of how long they are kept.
		return
	case attempt.unreachable:
		stats.RecordFailures(connFailureWeight)
	case result.Outcome == protocol.Done && result.Status < 500:
		stats.RecordRun(route, ms, usual)
	case result.Outcome == protocol.Unknown && result.TimedOut, result.Outcome == protocol.Done && result.Status == http.StatusGatewayTimeout:
		// One that came with too little time says nothing of the worker.
		if usual > 0 && ms > 2*usual {
			stats.RecordFailures(1)
		}
	case result.ReachedWorker:
		// Its own failures; and no more jobs are here than it has slots, so
		// one that it turned away counts too.
		stats.RecordFailures(1)
	default:
		return
	}
	x.publishHealth(attempt.worker)
}

// publishHealth tells all fronts when what is to be thought of the worker changed much:
// with many fronts each sees too few of its jobs to find out in time. How often it
// does so is bounded: where all are overloaded, what they tell of each other is load.
func (x *Proxy) publishHealth(local *localWorker) {
	if !x.healthChanged(local) || !local.state.Is("up") {
		return
	}
	local.registryMu.Lock()
	defer local.registryMu.Unlock()
	// Whoever had the lock before may have told it.
	if x.healthChanged(local) && x.healthUpdates.Take(time.Now()) {
		x.registerLocked(local)
	}
}

// healthChanged tells whether the registry has other doubts about a worker than its owner.
func (x *Proxy) healthChanged(worker *localWorker) bool {
	suspicion := worker.stats.Suspicion(x.balancer.FailureRate(worker.service))
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.publishedSuspicion != suspicion
}

// register puts the gate's entry into the registry with a fresh dot, as the gate
// is now.
func (x *Proxy) register(worker *localWorker) {
	worker.registryMu.Lock()
	defer worker.registryMu.Unlock()
	x.registerLocked(worker)
}

// registerLocked does so; g.tell is held.
func (x *Proxy) registerLocked(local *localWorker) {
	state := local.state.Current()
	if state != "up" && state != "draining" {
		return
	}
	meta := map[string]string{"slots": strconv.Itoa(local.slots), "state": state, "addr": local.addr}
	if state == "draining" && local.callSeq > 0 {
		// A later start of this node knows by it which calls are older.
		meta["call"] = strconv.FormatInt(local.callSeq, 10)
	}
	suspicion := local.stats.Suspicion(x.balancer.FailureRate(local.service))
	if suspicion > 0 {
		meta["doubts"] = strconv.Itoa(suspicion)
		if local.stats.WarmingUp() {
			meta["cold"] = "1"
		}
	}
	entry := x.replica.Register(local.service, local.id, meta)
	local.mu.Lock()
	previous := local.publishedSuspicion
	local.dot, local.publishedSuspicion = entry.Dot, suspicion
	local.mu.Unlock()
	switch {
	case suspicion > previous:
		x.env.Log.Emit(event.WorkerUnhealthy, "worker", local.id, "doubts", suspicion)
	case suspicion == 0 && previous > 0:
		x.env.Log.Emit(event.WorkerHealthy, "worker", local.id)
	}
}

// unregister takes the gate's entry out of the registry; none that was about to
// enter again comes after it.
func (x *Proxy) unregister(local *localWorker, reason string) {
	local.registryMu.Lock()
	defer local.registryMu.Unlock()
	x.replica.Remove(local.id, reason)
}

// classUsage gives the classes' use of each worker for the status.
func (x *Proxy) classUsage() map[string]map[string]admission.ClassUsage {
	out := map[string]map[string]admission.ClassUsage{}
	for _, local := range x.allWorkers() {
		out[local.id] = local.admission.Usage()
	}
	return out
}
