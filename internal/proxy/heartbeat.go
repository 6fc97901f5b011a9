package proxy

import (
	"net/http"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
)

// HeartbeatTable describes the fields of a worker's heartbeat.
var HeartbeatTable = schema.Table{Name: "beat", Fields: []schema.Field{
	{Name: "service", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "the service it serves"},
	{Name: "worker", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "its identity, a new one at each start"},
	{Name: "addr", Type: schema.Addr, Required: true, Rule: "IP number and port", Help: "where it takes jobs"},
	{Name: "slots", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1024), Rule: "1 to 1024", Help: "jobs that it runs at once"},
	{Name: "state", Type: schema.Text, Required: true, Check: schema.OneOf("up", "draining", "gone"), Rule: "up, draining or gone", Help: "alive, leaving or signed off"},
}}

// onHeartbeat handles a worker's heartbeat. Each one carries the whole registration, so that a
// restarted proxy is complete again after the next one.
func (x *Proxy) onHeartbeat(w http.ResponseWriter, r *http.Request) {
	raw, code := httpapi.ReadBody(w, r, 4096)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the beat can't be read"})
		return
	}
	in, problems, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return
	}
	values, more := HeartbeatTable.Read(in, "")
	if problems = append(problems, more...); len(problems) > 0 {
		x.env.Log.Emit(event.HeartbeatRejected, "faults", len(problems), "first", problems[0].Place)
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the beat is wrong", Faults: problems})
		return
	}
	x.handleCall(workerCall{worker: values.Text("worker"), service: values.Text("service"), addr: values.Text("addr"), slots: int(values.Count("slots")), state: values.Text("state")})
	x.acknowledge(w, r, values.Text("worker"), values.Text("state"), map[string]any{"beat_ms": x.Settings.WorkerHeartbeat().Milliseconds(), "missed_ms": x.Settings.WorkerTimeout().Milliseconds()})
}

// applyState applies a worker's call. x.workerCallMu is held.
func (x *Proxy) applyState(call workerCall) {
	worker, service, addr, slots, state := call.worker, call.service, call.addr, call.slots, call.state
	if state == stateGone {
		x.signOff(worker)
		return
	}
	x.mu.Lock()
	local := x.workers[worker]
	var replaced []*localWorker
	for id, other := range x.workers {
		// A new worker ID at a known address, or a changed registration: the old entry is
		// removed first, so that nothing meant for it arrives here.
		if (id != worker && other.addr == addr) || (id == worker && (other.service != service || other.addr != addr)) {
			replaced = append(replaced, other)
			delete(x.workers, id)
		}
	}
	if local != nil && x.workers[worker] == nil {
		local = nil
	}
	if local == nil {
		local = newLocalWorker(worker, service, addr, slots, x.Settings.RetryWindow)
		x.workers[worker] = local
	}
	x.mu.Unlock()
	for _, other := range replaced {
		x.env.Log.Emit(event.Evicted, "worker", other.id, "by", worker, "addr", addr)
		if other.id == worker {
			x.closeAndRemove(other, reasonEvicted)
		} else {
			x.evict(other, worker)
		}
	}
	x.recordContact(local, state == "up")
	if call.warmup > 0 {
		local.stats.SetWarmup(call.warmup)
	}
	local.mu.Lock()
	resized := local.slots != slots
	local.slots, local.callSeq = slots, max(local.callSeq, call.number)
	failing := local.failedProbes >= 2
	local.mu.Unlock()
	if resized {
		x.configureWorkerAdmission(local, x.rules.Load())
	}
	// A node that is leaving keeps its worker draining, whatever state the worker reports.
	if state == "up" && (x.isDrained() || x.workersLeaving.Load()) {
		state = "draining"
	}
	switch state {
	case "draining":
		x.drainWorker(local)
	case "up":
		if !failing && (x.transition(local, "up", "its word") || resized) {
			x.configureWorkerAdmission(local, x.rules.Load())
			local.admission.Open()
			x.register(local)
		}
		x.publishHealth(local)
	}
}

// signOff handles a worker's sign-off, also if the worker is not known here, since this node
// may have restarted meanwhile.
func (x *Proxy) signOff(worker string) {
	x.mu.Lock()
	local := x.workers[worker]
	delete(x.workers, worker)
	x.mu.Unlock()
	if local == nil {
		x.replica.SignOffWorker(worker, reasonSignedOff)
		return
	}
	x.closeDeparted(local, reasonSignedOff)
}

// closeDeparted closes a worker that has left for good. x.workerCallMu is held.
func (x *Proxy) closeDeparted(local *localWorker, reason string) {
	local.admission.Close()
	x.transition(local, "gone", reason)
	local.registryMu.Lock()
	defer local.registryMu.Unlock()
	x.replica.SignOffWorker(local.id, reason)
}

// closeAndRemove closes a worker for good and removes its registry entry.
func (x *Proxy) closeAndRemove(worker *localWorker, reason string) {
	worker.admission.Close()
	x.transition(worker, "gone", reason)
	x.unregister(worker, reason)
}

// reregister registers live local workers again whose entries other nodes have removed, as the
// steward does when this node was out of contact for too long.
func (x *Proxy) reregister() {
	for _, local := range x.allWorkers() {
		local.mu.Lock()
		dot := local.dot
		local.mu.Unlock()
		if local.state.Is("up", "draining") && x.replica.OwnRemoved(dot) && !x.hasDeparted(local.id) {
			x.env.Log.Emit(event.Reregistered, "worker", local.id)
			x.register(local)
		}
	}
}
