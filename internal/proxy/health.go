package proxy

import (
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/admission"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
)

// connFailureWeight is how many failed requests a failed connection to the worker counts for.
const connFailureWeight = 4

// recordRun records what an attempt that held a slot shows about the worker. All requests of a
// worker pass here, whichever ingress they come from.
func (x *Proxy) recordRun(attempt *ownerAttempt) {
	result, stats, route := &attempt.result, attempt.worker.stats, attempt.req.Route
	ms := stats.RunEnded(attempt.activeRun)
	usual := x.balancer.UsualRunMS(route)
	switch {
	case attempt.cutReason != "":
		// This node ended the run.
		return
	case attempt.connForgotten:
		// The worker closed an idle connection: this concerns only how long connections are
		// kept.
		return
	case attempt.unreachable:
		stats.RecordFailures(connFailureWeight)
	case result.Outcome == protocol.Done && result.Status < 500:
		stats.RecordRun(route, ms, usual)
	case result.Outcome == protocol.Unknown && result.TimedOut, result.Outcome == protocol.Done && result.Status == http.StatusGatewayTimeout:
		// A timeout of an attempt with too little time says nothing about the worker.
		if usual > 0 && ms > 2*usual {
			stats.RecordFailures(1)
		}
	case result.ReachedWorker:
		// Failures of the worker itself. This node sends it no more requests than it has slots,
		// so a request that the worker turned away counts too.
		stats.RecordFailures(1)
	default:
		return
	}
	x.publishHealth(attempt.worker)
}

// publishHealth publishes a large change of the worker's health to all ingresses, since with
// many of them each sees too few of its requests to notice in time. The rate is bounded: when
// all workers are overloaded, the updates themselves are load.
func (x *Proxy) publishHealth(local *localWorker) {
	if !x.healthChanged(local) || !local.state.Is("up") {
		return
	}
	local.registryMu.Lock()
	defer local.registryMu.Unlock()
	// The previous holder of the lock may have published it.
	if x.healthChanged(local) && x.healthUpdates.Take(time.Now()) {
		x.registerLocked(local)
	}
}

// healthChanged tells whether the published suspicion of a worker differs from the current one.
func (x *Proxy) healthChanged(worker *localWorker) bool {
	suspicion := worker.stats.Suspicion(x.balancer.FailureRate(worker.service))
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.publishedSuspicion != suspicion
}

// register writes the worker's entry to the registry, with a new dot and its current state.
func (x *Proxy) register(worker *localWorker) {
	worker.registryMu.Lock()
	defer worker.registryMu.Unlock()
	x.registerLocked(worker)
}

// registerLocked is register with registryMu held.
func (x *Proxy) registerLocked(local *localWorker) {
	state := local.state.Current()
	if state != "up" && state != "draining" {
		return
	}
	meta := map[string]string{"slots": strconv.Itoa(local.slots), "state": state, "addr": local.addr}
	if state == "draining" && local.callSeq > 0 {
		// After a restart this node uses the number to tell which calls are older.
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

// unregister removes the worker's entry from the registry; no concurrent registration follows
// the removal.
func (x *Proxy) unregister(local *localWorker, reason string) {
	local.registryMu.Lock()
	defer local.registryMu.Unlock()
	x.replica.Remove(local.id, reason)
}

// classUsage gives the usage of each worker by class, for the status.
func (x *Proxy) classUsage() map[string]map[string]admission.ClassUsage {
	out := map[string]map[string]admission.ClassUsage{}
	for _, local := range x.allWorkers() {
		out[local.id] = local.admission.Usage()
	}
	return out
}
