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

// gate is the owner's door to one worker.
type gate struct {
	worker  string
	service string
	addr    string
	slots   int
	room    *admission.Controller
	state   *fsm.Machine // up, draining, down, gone
	mu      sync.Mutex
	heard   time.Time
	word    time.Time // the newest 'up' that is certain to be no older than it looks
	bad     int       // failed probes in a row
	dot     ormap.Dot
	seq     int64                    // of the worker's newest call
	takes   map[string]time.Duration // by path, how long a job runs here, smoothed
	bytes   map[string]int           // by path, how long its answers are, smoothed
	leaves  time.Time                // when it said that it is leaving
	began   uint64                   // the step of the trail at which its state began
	own     *balancer.WorkerStats
	tell    sync.Mutex // one word to the registry at a time; taken before mu
	told    int        // the doubts that the registry has
}

func newGate(worker, service, addr string, slots int, window time.Duration) *gate {
	g := &gate{worker: worker, service: service, addr: addr, slots: slots, room: admission.New(), takes: map[string]time.Duration{}, bytes: map[string]int{}, own: balancer.NewWorkerStats(window)}
	g.state = fsm.New("new", nil,
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
	return g
}

// ran notes how long a job of a path ran here, and its answer's bytes.
func (g *gate) ran(path string, took time.Duration, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	was, ok := g.takes[path]
	if !ok {
		was = took
		// Paths of older configurations must not pile up.
		if len(g.takes) >= 1024 {
			clear(g.takes)
			clear(g.bytes)
		}
		g.bytes[path] = size
	}
	g.bytes[path] += (size - g.bytes[path]) / 16
	g.takes[path] = was + (took-was)/16
}

// need is the time to allow for a job of a path: half as much again as it
// usually takes, or a guess as long as none has run.
func (g *gate) need(path string, guess time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t, ok := g.takes[path]; ok {
		return t * 3 / 2
	}
	return guess
}

// gives is how many bytes the answers of a path have, 0 as long as none came.
func (g *gate) gives(path string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes[path]
}

// gateOf finds the door to a worker, nil when it isn't this node's own.
func (x *Proxy) gateOf(worker string) *gate {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gates[worker]
}

func (x *Proxy) allGates() []*gate {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*gate
	for _, g := range x.gates {
		out = append(out, g)
	}
	return out
}

func (x *Proxy) shape(r *rules.Rules) {
	for _, g := range x.allGates() {
		x.shapeGate(g, r)
	}
}

func (x *Proxy) shapeGate(g *gate, r *rules.Rules) {
	if r == nil {
		return
	}
	g.mu.Lock()
	slots := g.slots
	g.mu.Unlock()
	g.room.Configure(slots, r.Shares, max(int(float64(slots)*r.QueueRatio), 1))
}

// watch finds dead workers: by missed beats, and by probes of their port.
func (x *Proxy) watch(ctx context.Context) {
	x.e.PollSettings()
	for _, g := range x.allGates() {
		g.mu.Lock()
		mute := time.Since(g.heard) > x.Settings.WorkerTimeout()
		g.mu.Unlock()
		if mute && x.moves(g, "miss", "no word in time") {
			g.room.Close()
			x.remove(g, "down")
		}
		// One that stays mute for good leaves no door behind.
		if mute {
			if time.Since(g.lastHeard()) > x.Settings.RetireAfter {
				x.mu.Lock()
				if x.gates[g.worker] == g {
					delete(x.gates, g.worker)
				}
				x.mu.Unlock()
			}
			continue
		}
		// Where none is asked who it is, none is probed either: beats and the
		// ends of jobs tell, and a probe costs the worker a connection.
		if x.say.IdentifiesConns {
			x.g.Go("probe", func(ctx context.Context) { x.probe(ctx, g) })
		}
	}
}

// moves changes the state of a gate and tells by which of the worker's calls;
// false means that nothing changed.
func (x *Proxy) moves(g *gate, by, why string) bool {
	was := g.state.Current()
	if !g.state.Fire(by) {
		return false
	}
	g.mu.Lock()
	g.began = x.trail.next()
	step, call := g.began, g.seq
	g.mu.Unlock()
	x.e.Log.Emit(event.WorkerState, "worker", g.worker, "from", was, "to", g.state.Current(), "call", call, "step", step, "why", why)
	return true
}

func (x *Proxy) drainWorkers() {
	for _, g := range x.allGates() {
		x.drain(g)
	}
}

func (x *Proxy) removeWorkers() {
	for _, g := range x.allGates() {
		x.drop(g, "its node stopped")
	}
}

func (g *gate) lastHeard() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard
}

// takes tells whether new jobs may go in: on fresh word of the worker, while it
// is up, and for a part of the leaving bound after it began to drain. Fronts
// that have not seen the flag yet would otherwise spend repeats, or their
// callers get errors, for a planned leave.
func (x *Proxy) takes(g *gate) bool {
	woke := x.pulse.LastPauseEnd()
	g.mu.Lock()
	defer g.mu.Unlock()
	// A 'draining' may wait unread in a socket, or not get here at all: the
	// worker may have left at any time after its newest word.
	if !g.word.After(woke) || time.Since(g.word) > x.Settings.WorkerTimeout() {
		return false
	}
	return g.state.Is("up") || g.state.Is("draining") && time.Since(g.leaves) < x.Settings.LeaveBound/4
}

// hears notes a beat. One that is read right after a freeze may be as old as
// the freeze, so it is no word that the worker is up now.
func (x *Proxy) hears(g *gate, up bool) {
	woke := x.pulse.LastPauseEnd()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard = time.Now()
	if up && time.Since(woke) > x.Settings.WorkerHeartbeat()/2 {
		g.word = g.heard
	}
}

// drain flags the entry for the others at once and shuts the door soon after.
func (x *Proxy) drain(g *gate) {
	g.mu.Lock()
	first := !g.state.Is("draining")
	if first {
		g.leaves = time.Now()
	}
	g.mu.Unlock()
	if !first || !x.moves(g, "drain", "told to drain") {
		return
	}
	x.e.Log.Emit(event.Draining, "worker", g.worker)
	x.enter(g)
	x.g.Go("shut-door", func(ctx context.Context) {
		task.Sleep(ctx, x.Settings.LeaveBound/4)
		if g.state.Is("draining") {
			g.room.Close()
		}
	})
}
