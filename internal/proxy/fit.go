package proxy

import (
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/admission"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
)

// dead is how many failed jobs it is worth that the worker takes no connection.
const dead = 4

// measure takes in what an attempt that held a slot showed of the worker. All
// of a worker's jobs pass here, however many fronts there are.
func (x *Proxy) measure(v *visit) {
	b, own, path := &v.back, v.gate.own, v.in.Route
	ms := own.RunEnded(v.run)
	usual := x.pick.UsualRunMS(path)
	switch {
	case v.cut != "":
		// It was ended from here.
		return
	case v.stale:
		// It forgot a connection that idled: a matter of how long they are kept.
		return
	case v.mute:
		own.RecordFailures(dead)
	case b.Outcome == protocol.Done && b.Status < 500:
		own.RecordRun(path, ms, usual)
	case b.Outcome == protocol.Unknown && b.TimedOut, b.Outcome == protocol.Done && b.Status == http.StatusGatewayTimeout:
		// One that came with too little time says nothing of the worker.
		if usual > 0 && ms > 2*usual {
			own.RecordFailures(1)
		}
	case b.ReachedWorker:
		// Its own failures; and no more jobs are here than it has slots, so
		// one that it turned away counts too.
		own.RecordFailures(1)
	default:
		return
	}
	x.doubt(v.gate)
}

// doubt tells all fronts when what is to be thought of the worker changed much:
// with many fronts each sees too few of its jobs to find out in time. How often it
// does so is bounded: where all are overloaded, what they tell of each other is load.
func (x *Proxy) doubt(g *gate) {
	if !x.changed(g) || !g.state.Is("up") {
		return
	}
	g.tell.Lock()
	defer g.tell.Unlock()
	// Whoever had the lock before may have told it.
	if x.changed(g) && x.fitnessNews.Take(time.Now()) {
		x.register(g)
	}
}

// changed tells whether the registry has other doubts about a worker than its owner.
func (x *Proxy) changed(g *gate) bool {
	now := g.own.Suspicion(x.pick.FailureRate(g.service))
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.told != now
}

// enter puts the gate's entry into the registry with a fresh dot, as the gate
// is now.
func (x *Proxy) enter(g *gate) {
	g.tell.Lock()
	defer g.tell.Unlock()
	x.register(g)
}

// register does so; g.tell is held.
func (x *Proxy) register(g *gate) {
	say := g.state.Current()
	if say != "up" && say != "draining" {
		return
	}
	meta := map[string]string{"slots": strconv.Itoa(g.slots), "state": say, "addr": g.addr}
	if say == "draining" && g.seq > 0 {
		// A later start of this node knows by it which calls are older.
		meta["call"] = strconv.FormatInt(g.seq, 10)
	}
	doubts := g.own.Suspicion(x.pick.FailureRate(g.service))
	if doubts > 0 {
		meta["doubts"] = strconv.Itoa(doubts)
		if g.own.WarmingUp() {
			meta["cold"] = "1"
		}
	}
	e := x.rep.Register(g.service, g.worker, meta)
	g.mu.Lock()
	was := g.told
	g.dot, g.told = e.Dot, doubts
	g.mu.Unlock()
	switch {
	case doubts > was:
		x.e.Log.Emit(event.WorkerUnhealthy, "worker", g.worker, "doubts", doubts)
	case doubts == 0 && was > 0:
		x.e.Log.Emit(event.WorkerHealthy, "worker", g.worker)
	}
}

// remove takes the gate's entry out of the registry; none that was about to
// enter again comes after it.
func (x *Proxy) remove(g *gate, why string) {
	g.tell.Lock()
	defer g.tell.Unlock()
	x.rep.Remove(g.worker, why)
}

// uses gives the classes' use of each worker for the status.
func (x *Proxy) uses() map[string]map[string]admission.ClassUsage {
	out := map[string]map[string]admission.ClassUsage{}
	for _, g := range x.allGates() {
		out[g.worker] = g.room.Usage()
	}
	return out
}
