// Package proxy is the node beside each worker: it takes callers' jobs as a
// front, and as the owner of its worker it alone hands jobs to it.
package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/member"
	"puffincrank/internal/nominate"
	"puffincrank/internal/ormap"
	"puffincrank/internal/outer"
	"puffincrank/internal/props"
	"puffincrank/internal/pulse"
	"puffincrank/internal/repeats"
	"puffincrank/internal/replica"
	"puffincrank/internal/rules"
	"puffincrank/internal/state"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// Proxy is one process. Lock order: mu before a gate's own lock.
type Proxy struct {
	P     props.Props
	e     env.Env
	g     *task.Group
	n     *wire.Node
	self  member.Fellow
	life  *state.Machine
	touch *touch
	rep   *replica.Replica
	pick  *nominate.Nominator
	again *repeats.Budget
	way   *way
	pulse *pulse.Pulse
	rules atomic.Pointer[rules.Rules]
	busy  atomic.Int64 // jobs under way as a front
	owned atomic.Int64 // attempts under way as an owner
	seq   atomic.Uint64
	boot  string

	mu    sync.Mutex
	gates map[string]*gate // worker identity to its gate
	met   map[string]time.Time
	count counts
	tally map[armKey]*armTally
	live  map[string]time.Time // path to its newest job
	hold  bool                 // an operator drained this node
}

type counts struct{ Jobs, Done, Refused, Unknown, Sends, Near int64 }

// New readies a proxy.
func New(p props.Props, e env.Env) *Proxy {
	g := task.New(context.Background()).Pace(e.Pause)
	x := &Proxy{P: p, e: e, g: g, gates: map[string]*gate{}, met: map[string]time.Time{}, tally: map[armKey]*armTally{}, live: map[string]time.Time{}, boot: fresh()}
	x.self = member.Fellow{Node: p.Node, Start: x.boot, Role: "proxy", Area: p.Area, Inner: p.Inner, Outer: p.Outer, Traffic: p.Traffic}
	x.n = wire.NewNode(wire.Hello{Mesh: p.Mesh, Node: p.Node, Area: p.Area, Role: "proxy"}, e, g, p.Frame, p.Jobs, p.Patience())
	x.rep = replica.New(x.self, x.n, g, e.Log, hlc.New(e.Wall, 2*p.Return), p.Beat(), p.Repair(), p.Bury())
	x.pick = nominate.New(p.Area, p.Beat(), x.fitness)
	x.again = repeats.New(p.Window)
	x.pulse = pulse.New(p.Beat()/4, p.Gap(), func(gap time.Duration) { e.Log.Emit(event.Froze, "ms", gap.Milliseconds()) })
	x.touch = newTouch(x)
	x.way = newWay(e.Net, g, p.Change, int64(p.Body)+64<<10)
	x.life = state.New("starting", nil,
		state.Move{From: "starting", By: "filled", To: "ready"},
		state.Move{From: "starting", By: "stop", To: "leaving"},
		state.Move{From: "ready", By: "stop", To: "leaving"},
		state.Move{From: "leaving", By: "shut", To: "shut"},
		state.Move{From: "shut", By: "end", To: "ended"})
	x.rep.Subscribe(x.news)
	return x
}

func fresh() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (x *Proxy) fitness(worker string, fit bool) {
	if fit {
		x.e.Log.Emit(event.Fit, "worker", worker)
	} else {
		x.e.Log.Emit(event.Unfit, "worker", worker)
	}
}

// news logs the registry's events and forgets workers that are gone for good.
func (x *Proxy) news(n replica.News) {
	if n.Kind == "registered" {
		x.e.Log.Emit(event.Registered, "service", n.Entry.Service, "worker", n.Entry.Worker, "owner", n.Entry.Owner)
		return
	}
	k := event.Unregistered
	if n.Kind == "down" {
		k = event.Down
	}
	x.e.Log.Emit(k, "service", n.Entry.Service, "worker", n.Entry.Worker, "owner", n.Entry.Owner, "why", n.Why)
	if len(x.rep.Map().Live(func(e ormap.Entry) bool { return e.Worker == n.Entry.Worker })) == 0 {
		x.pick.Forget(n.Entry.Worker)
	}
}

// Start opens the ports and the session.
func (x *Proxy) Start() error {
	wire.On(x.n, "job.hand", x.onHand)
	wire.On(x.n, "config.push", x.onPush)
	wire.On(x.n, "node.status", x.onStatus)
	wire.On(x.n, "node.drain", x.onDrain)
	if err := x.n.Listen(x.P.Inner); err != nil {
		return err
	}
	if err := outer.Serve(x.g, x.e, x.P.Outer, x.outerRoutes(), x.P.Change); err != nil {
		return err
	}
	if err := outer.Serve(x.g, x.e, x.P.Traffic, http.HandlerFunc(x.front), x.P.Change); err != nil {
		return err
	}
	x.e.Log.Emit(event.Started, "program", "proxy", "traffic", x.P.Traffic)
	x.g.Go("pulse", func(ctx context.Context) { x.pulse.Run(ctx, x.e.Pause) })
	x.g.Go("session", x.touch.run)
	x.g.Every("worker-watch", x.P.WorkerBeat(), x.watch)
	x.g.Every("forget", x.P.Return, x.forget)
	return nil
}

// Open tells whether jobs are taken: a leaving node takes them for a while.
func (x *Proxy) Open() bool { return x.life.Is("ready", "leaving") }

// Ready tells the platform whether to send callers here.
func (x *Proxy) Ready() bool { return x.life.Is("ready") }

// Kill ends the process at once.
func (x *Proxy) Kill() {
	x.g.Cancel()
	x.n.Close()
	x.way.close()
	x.g.Stop()
}

// Stop ends politely: readiness falls, fellows get the time to notice, jobs
// under way end, then the node signs off.
func (x *Proxy) Stop() {
	x.e.Log.Emit(event.Stopping, "program", "proxy", "jobs", x.busy.Load())
	if !x.life.Fire("stop") {
		return
	}
	x.leaveGates()
	ctx, end := context.WithTimeout(x.g.Context(), x.P.Grace)
	defer end()
	// Callers learn from readiness, which the platform polls; until they had
	// the time to, this front goes on taking their jobs, and for as long as the
	// own worker runs some, since they may call others through it.
	task.Pause(ctx, x.P.Leave)
	x.rest(ctx, x.owned.Load)
	x.life.Fire("shut")
	x.rest(ctx, func() int64 { return x.busy.Load() + x.owned.Load() })
	x.signOff()
	x.touch.bye()
	x.n.Leave(x.P.Beat())
	x.life.Fire("end")
	x.Kill()
	x.e.Log.Emit(event.Stopped, "program", "proxy")
}

// rest waits until none of something is under way.
func (x *Proxy) rest(ctx context.Context, under func() int64) {
	for under() > 0 && ctx.Err() == nil {
		task.Pause(ctx, x.P.Beat()/10)
	}
}

// forget drops attempt ids that are older than any time left could be.
func (x *Proxy) forget(context.Context) {
	x.way.sweep()
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, end := range x.met {
		if time.Now().After(end) {
			delete(x.met, id)
		}
	}
}

// meet notes an attempt; false means that it was here before.
func (x *Proxy) meet(id string, left time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.met[id]; ok {
		return false
	}
	// Longer than the attempt could still be under way anywhere.
	x.met[id] = time.Now().Add(2*left + x.P.Return)
	return true
}

// take puts a configuration in force if it is newer; it never steps back.
func (x *Proxy) take(version uint64, doc []byte) bool {
	for {
		old := x.rules.Load()
		if old != nil && old.Version >= version {
			return true
		}
		r, bad, err := rules.Compile(version, doc)
		if err != nil || len(bad) > 0 {
			x.e.Log.Emit(event.ConfigBad, "version", version, "faults", len(bad))
			return false
		}
		if x.rules.CompareAndSwap(old, r) {
			x.again.Bound(r.RepShare, r.RepAllow)
			x.shape(r)
			x.e.Log.Emit(event.ConfigTaken, "version", version)
			return true
		}
	}
}
