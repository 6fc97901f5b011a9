package proxy

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/admission"
	"puffincrank/internal/balancer"
	"puffincrank/internal/event"
	"puffincrank/internal/fsm"
	"puffincrank/internal/ormap"
	"puffincrank/internal/rules"
	"puffincrank/internal/task"
)

// localWorker is a worker that this node owns, with its admission control.
type localWorker struct {
	id                 string
	service            string
	addr               string
	slots              int
	admission          *admission.Controller
	state              *fsm.Machine // up, draining, down, gone
	mu                 sync.Mutex
	lastContact        time.Time
	lastUp             time.Time // newest 'up' report that can't be older than the time it was read
	failedProbes       int       // in a row
	dot                ormap.Dot
	callSeq            int64                    // of the worker's newest call
	runTimes           map[string]time.Duration // run time by route, smoothed
	responseSizes      map[string]int           // response size by route, smoothed
	drainingSince      time.Time                // when it reported that it is leaving
	stateSeq           uint64                   // decision log sequence number at which its state began
	stats              *balancer.WorkerStats
	registryMu         sync.Mutex // serializes registry updates; taken before mu
	publishedSuspicion int        // suspicion in the registry
}

func newLocalWorker(worker, service, addr string, slots int, window time.Duration) *localWorker {
	local := &localWorker{id: worker, service: service, addr: addr, slots: slots, admission: admission.New(), runTimes: map[string]time.Duration{}, responseSizes: map[string]int{}, stats: balancer.NewWorkerStats(window)}
	local.state = fsm.New("new", nil,
		fsm.Transition{From: "new", Trigger: "up", To: "up"},
		fsm.Transition{From: "new", Trigger: "drain", To: "draining"},
		fsm.Transition{From: "up", Trigger: "drain", To: "draining"},
		fsm.Transition{From: "up", Trigger: "miss", To: "down"},
		fsm.Transition{From: "draining", Trigger: "up", To: "up"},
		fsm.Transition{From: "draining", Trigger: "miss", To: "down"},
		fsm.Transition{From: "down", Trigger: "up", To: "up"},
		fsm.Transition{From: "down", Trigger: "drain", To: "draining"},
		fsm.Transition{From: "up", Trigger: "gone", To: "gone"},
		fsm.Transition{From: "draining", Trigger: "gone", To: "gone"},
		fsm.Transition{From: "down", Trigger: "gone", To: "gone"},
		fsm.Transition{From: "new", Trigger: "gone", To: "gone"})
	return local
}

// recordRun records how long a request of a route ran here and the size of its response.
func (w *localWorker) recordRun(route string, took time.Duration, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	mean, ok := w.runTimes[route]
	if !ok {
		mean = took
		// Routes of older configurations must not accumulate.
		if len(w.runTimes) >= 1024 {
			clear(w.runTimes)
			clear(w.responseSizes)
		}
		w.responseSizes[route] = size
	}
	w.responseSizes[route] += (size - w.responseSizes[route]) / 16
	w.runTimes[route] = mean + (took-mean)/16
}

// timeNeeded is the time to allow for a request of a route: one and a half times its usual run
// time, or the guess if none has run yet.
func (w *localWorker) timeNeeded(route string, guess time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.runTimes[route]; ok {
		return t * 3 / 2
	}
	return guess
}

// responseSize is the usual size in bytes of a route's responses, 0 if there was none yet.
func (w *localWorker) responseSize(route string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.responseSizes[route]
}

// findWorker finds a local worker, nil if this node does not own it.
func (x *Proxy) findWorker(worker string) *localWorker {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.workers[worker]
}

func (x *Proxy) allWorkers() []*localWorker {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*localWorker
	for _, worker := range x.workers {
		out = append(out, worker)
	}
	return out
}

func (x *Proxy) configureAdmission(current *rules.Rules) {
	for _, worker := range x.allWorkers() {
		x.configureWorkerAdmission(worker, current)
	}
}

func (x *Proxy) configureWorkerAdmission(worker *localWorker, r *rules.Rules) {
	if r == nil {
		return
	}
	worker.mu.Lock()
	slots := worker.slots
	worker.mu.Unlock()
	worker.admission.Configure(slots, r.Shares, max(int(float64(slots)*r.QueueRatio), 1))
}

// watchWorkers detects dead workers by missed heartbeats and by probes of their port.
func (x *Proxy) watchWorkers(ctx context.Context) {
	x.env.PollSettings()
	for _, local := range x.allWorkers() {
		local.mu.Lock()
		silent := time.Since(local.lastContact) > x.Settings.WorkerTimeout()
		local.mu.Unlock()
		if silent && x.transition(local, "miss", "no word in time") {
			local.admission.Close()
			x.unregister(local, "down")
		}
		// A worker that stays silent for good is dropped.
		if silent {
			if time.Since(local.lastContactTime()) > x.Settings.RetireAfter {
				x.mu.Lock()
				if x.workers[local.id] == local {
					delete(x.workers, local.id)
				}
				x.mu.Unlock()
			}
			continue
		}
		// Workers whose connections carry no identity check are not probed: heartbeats and the
		// results of requests suffice, and a probe costs the worker a connection.
		if x.dialect.IdentifiesConns {
			x.group.Go("probe", func(ctx context.Context) { x.probe(ctx, local) })
		}
	}
}

// transition changes the state of a worker and logs the call of the worker that caused it;
// false means that the state did not change.
func (x *Proxy) transition(local *localWorker, trigger, reason string) bool {
	previous := local.state.Current()
	if !local.state.Fire(trigger) {
		return false
	}
	local.mu.Lock()
	local.stateSeq = x.decisions.nextSeq()
	seq, call := local.stateSeq, local.callSeq
	local.mu.Unlock()
	x.env.Log.Emit(event.WorkerState, "worker", local.id, "from", previous, "to", local.state.Current(), "call", call, "step", seq, "why", reason)
	return true
}

func (x *Proxy) drainWorkers() {
	for _, worker := range x.allWorkers() {
		x.drainWorker(worker)
	}
}

func (x *Proxy) removeWorkers() {
	for _, worker := range x.allWorkers() {
		x.closeAndRemove(worker, "its node stopped")
	}
}

func (w *localWorker) lastContactTime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastContact
}

// accepts tells whether new requests may be admitted: on a recent report of the worker, unless it
// is gone for good, while it is up, and for a quarter of the leave bound after it began to drain. Otherwise ingresses
// that have not seen the drain yet would spend retries, or return errors to callers, for a
// planned leave.
func (x *Proxy) accepts(local *localWorker) bool {
	if x.hasDeparted(local.id) {
		return false
	}
	pauseEnd := x.pauseDetector.LastPauseEnd()
	local.mu.Lock()
	defer local.mu.Unlock()
	// A 'draining' report may wait unread in a socket or never arrive: the worker may have left
	// at any time after its newest report.
	if !local.lastUp.After(pauseEnd) || time.Since(local.lastUp) > x.Settings.WorkerTimeout() {
		return false
	}
	return local.state.Is("up") || local.state.Is("draining") && time.Since(local.drainingSince) < x.Settings.LeaveBound/4
}

// recordContact records a heartbeat. One that is read right after a pause of this process may
// be as old as the pause, so it does not prove that the worker is up now.
func (x *Proxy) recordContact(worker *localWorker, up bool) {
	pauseEnd := x.pauseDetector.LastPauseEnd()
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lastContact = time.Now()
	if up && time.Since(pauseEnd) > x.Settings.WorkerHeartbeat()/2 {
		worker.lastUp = worker.lastContact
	}
}

// drainWorker publishes the drain at once and closes admission soon after.
func (x *Proxy) drainWorker(local *localWorker) {
	local.mu.Lock()
	first := !local.state.Is("draining")
	if first {
		local.drainingSince = time.Now()
	}
	local.mu.Unlock()
	if !first || !x.transition(local, "drain", "told to drain") {
		return
	}
	x.env.Log.Emit(event.Draining, "worker", local.id)
	x.register(local)
	x.group.Go("shut-door", func(ctx context.Context) {
		task.Sleep(ctx, x.Settings.LeaveBound/4)
		if local.state.Is("draining") {
			local.admission.Close()
		}
	})
}
