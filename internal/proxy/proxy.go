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
	"puffincrank/internal/outer"
	"puffincrank/internal/props"
	"puffincrank/internal/pulse"
	"puffincrank/internal/repeats"
	"puffincrank/internal/replica"
	"puffincrank/internal/rules"
	"puffincrank/internal/state"
	"puffincrank/internal/task"
	"puffincrank/internal/tongue"
	"puffincrank/internal/touch"
	"puffincrank/internal/wire"
)

// Proxy is one process. Lock order: mu before a gate's own lock.
type Proxy struct {
	P           props.Props
	e           env.Env
	g           *task.Group
	n           *wire.Node
	self        member.Fellow
	life        *state.Machine
	well        chan struct{} // closed when it became ready
	touch       *touch.Touch
	rep         *replica.Replica
	pick        *nominate.Nominator
	again       *repeats.Budget
	kin         *kin
	calls       *calls
	knows       *recall
	load        *load
	trail       trail
	gone        *event.Limiter // of callers that left
	runsEnded   *event.Limiter // of runs ended for them
	fitnessNews *newsRate      // of what the mesh is told of its workers' fitness
	way         *way
	pulse       *pulse.Pulse
	say         tongue.Tongue
	door        *http.Server           // where callers come in
	stay        outer.Stay             // how long callers' connections may
	told        atomic.Pointer[string] // what callers are told of that
	rules       atomic.Pointer[rules.Rules]
	reset       atomic.Pointer[props.Props] // settings read again since the start
	busy        atomic.Int64                // jobs under way as a front
	owned       atomic.Int64                // attempts under way as an owner
	seq         atomic.Uint64
	slim        atomic.Int64              // attempts refused for want of room on a link
	quit        atomic.Int64              // callers that left before their answers
	left        atomic.Bool               // this node's workers are being left for good
	ends        atomic.Pointer[time.Time] // when nothing waits any more, once it was told to end
	boot        string
	born        time.Time
	late        context.Context // over when a stop can wait for jobs no longer
	over        context.CancelFunc

	calling    sync.Mutex // one call of a worker at a time; taken before mu
	lastCalls  map[string]lastCall
	departures map[string]time.Time // workers that are gone for good, and since when
	kept       map[string]string    // the state of leaving workers that a control node has noted

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
	x := &Proxy{P: p, e: e, g: g, well: make(chan struct{}), gates: map[string]*gate{}, met: map[string]time.Time{}, tally: map[armKey]*armTally{}, live: map[string]time.Time{}, lastCalls: map[string]lastCall{}, departures: map[string]time.Time{}, kept: map[string]string{}, boot: fresh(), born: time.Now(), say: e.Say}
	x.late, x.over = context.WithCancel(g.Context())
	if x.say.Name == "" {
		x.say = tongue.Own
	}
	x.self = member.Fellow{Node: p.Node, Start: x.boot, Role: "proxy", Area: p.Area, Inner: p.Inner, Outer: p.Outer, Traffic: p.Traffic}
	x.n = wire.NewNode(wire.Hello{Mesh: p.Mesh, Node: p.Node, Area: p.Area, Role: "proxy"}, e, g, p.Frame, p.Jobs, p.Patience())
	x.n.Bound = p.Links()
	x.rep = replica.New(x.self, x.n, g, e.Log, hlc.New(e.Wall, 2*p.Return), p.Beat(), p.Repair(), p.Bury())
	x.pick = nominate.New(p.Area, p.Beat(), p.Window, x.fitness)
	x.again = repeats.New(p.Window)
	x.kin = newKin()
	x.calls = newCalls()
	x.knows = newRecall(p.Beat() / 32)
	x.load = newLoad(&p)
	x.gone, x.runsEnded = event.NewLimiter(p.Beat()), event.NewLimiter(p.Beat())
	x.stay.Bound(callers(&p))
	x.limits(nil)
	x.fitnessNews = newNewsRate(time.Now())
	x.pulse = pulse.New(p.Beat()/4, p.Gap(), func(gap time.Duration) { e.Log.Emit(event.Froze, "ms", gap.Milliseconds()) })
	x.touch = newTouch(x)
	x.way = newWay(e.Net, g, p.Change, int64(max(p.Body, p.Frame/2))+64<<10)
	x.way.asks = x.say.Asks
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
	for _, e := range x.rep.Lookup(n.Entry.Service) {
		if e.Worker == n.Entry.Worker {
			return
		}
	}
	x.pick.Forget(n.Entry.Worker)
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
	last := time.Now().Add(x.P.Grace * 8 / 10)
	x.ends.Store(&last)
	// Large answers that wait for a thin link on their way here go first now.
	x.n.Haste()
	ctx, end := context.WithTimeout(x.g.Context(), x.P.Grace*17/20)
	defer end()
	// Callers learn from readiness, which the platform polls; until they had
	// the time to, this front goes on taking their jobs, and for as long as the
	// own worker runs some, since they may call others through it.
	// The own worker serves on meanwhile, and is flagged only so early that all
	// fronts have seen it when this node goes.
	task.Pause(ctx, x.P.Leave*3/4)
	x.left.Store(true)
	x.leaveGates()
	task.Pause(ctx, x.P.Leave/2)
	x.rest(ctx, x.owned.Load)
	// From here on an answer ends its connection, and idle ones end now: no
	// caller sends into a connection that is about to go.
	x.door.SetKeepAlivesEnabled(false)
	x.life.Fire("shut")
	x.rest(ctx, func() int64 { return x.busy.Load() + x.owned.Load() + x.n.Queued() })
	x.lastWord()
	x.signOff()
	x.touch.Bye()
	x.n.Leave(x.P.Parting())
	x.life.Fire("end")
	x.Kill()
	x.e.Log.Emit(event.Stopped, "program", "proxy")
}

// lastWord ends the jobs that this front can't wait for any longer: each caller
// is told that the outcome is unknown, or that it did not run, rather than that
// its connection just ends.
func (x *Proxy) lastWord() {
	x.over()
	ctx, end := context.WithTimeout(x.g.Context(), x.P.Grace/20)
	defer end()
	x.rest(ctx, x.busy.Load)
}

// rest waits until none of something is under way.
func (x *Proxy) rest(ctx context.Context, under func() int64) {
	for under() > 0 && ctx.Err() == nil {
		task.Pause(ctx, x.P.Beat()/10)
	}
}

// forget drops attempt ids that are older than any time left could be.
func (x *Proxy) forget(context.Context) {
	// Whoever was away for longer than graves are kept may have brought them back.
	if x.life.Is("ready") {
		x.buryOld()
	}
	x.way.sweep()
	x.forgetCalls()
	x.knows.forget(time.Now())
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, end := range x.met {
		if time.Now().After(end) {
			delete(x.met, id)
		}
	}
}

// Links counts the links to fellows that stand, whoever dialed them.
func (x *Proxy) Links() int { return x.n.Links() }
