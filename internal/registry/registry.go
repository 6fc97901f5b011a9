// Package registry is the control node on each core machine: it holds the
// sessions of the proxies, a replica of the service registry, the duties of
// judge and steward, and takes the outside calls for the store as well.
package registry

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
	"puffincrank/internal/ledger"
	"puffincrank/internal/member"
	"puffincrank/internal/outer"
	"puffincrank/internal/props"
	"puffincrank/internal/replica"
	"puffincrank/internal/rules"
	"puffincrank/internal/session"
	"puffincrank/internal/state"
	"puffincrank/internal/store"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// Registry is one process. Lock order: mu before the replica's locks.
type Registry struct {
	P      props.Props
	e      env.Env
	g      *task.Group
	n      *wire.Node
	self   member.Fellow
	life   *state.Machine
	rep    *replica.Replica
	stores *stores
	routes http.Handler
	calls  atomic.Int64 // outside calls under way
	duties []*duty

	mu     sync.Mutex
	own    map[string]*seat   // node to its session here
	others map[string]*shared // control node to its word on its sessions
	known  map[string]string  // control node to its inner address
	list   []member.Fellow    // the members as last worked out
	hash   uint64
	sure   time.Time // when a majority last confirmed what is held here
	rules  *rules.Rules
	trials []ledger.Trial
	tries  uint64
	looked time.Time                    // judge: the last look
	seenOf map[reportKey]session.Report // judge: the newest report of each front's start
	away   map[string]time.Time         // steward: since when a node has no session
	filled time.Time
}

// New readies a registry.
func New(p props.Props, e env.Env) *Registry {
	g := task.New(context.Background()).Pace(e.Pause)
	r := &Registry{P: p, e: e, g: g, own: map[string]*seat{}, others: map[string]*shared{}, known: map[string]string{}, away: map[string]time.Time{}, seenOf: map[reportKey]session.Report{}}
	var b [6]byte
	_, _ = rand.Read(b[:])
	r.self = member.Fellow{Node: p.Node, Start: hex.EncodeToString(b[:]), Role: "registry", Area: p.Area, Inner: p.Inner, Outer: p.Outer}
	r.n = wire.NewNode(wire.Hello{Mesh: p.Mesh, Node: p.Node, Area: p.Area, Role: "registry"}, e, g, p.Frame, p.Jobs, p.Patience())
	r.rep = replica.New(r.self, r.n, g, e.Log, hlc.New(e.Wall, 2*p.Return), p.Beat(), p.Repair(), p.Bury())
	r.stores = newStores(r.n, p.Stores, p.Patience(), p.Beat()/4)
	r.life = state.New("starting", nil,
		state.Move{From: "starting", By: "filled", To: "ready"},
		state.Move{From: "ready", By: "lost", To: "lost"},
		state.Move{From: "lost", By: "filled", To: "ready"},
		state.Move{From: "starting", By: "stop", To: "leaving"},
		state.Move{From: "lost", By: "stop", To: "leaving"},
		state.Move{From: "ready", By: "stop", To: "leaving"},
		state.Move{From: "leaving", By: "shut", To: "shut"})
	r.duties = []*duty{newDuty(r, "steward", r.steward), newDuty(r, "judge", r.judge)}
	r.rep.Subscribe(func(n replica.News) {
		k := map[string]event.Kind{"registered": event.Registered, "unregistered": event.Unregistered, "down": event.Down}[n.Kind]
		e.Log.Emit(k, "service", n.Entry.Service, "worker", n.Entry.Worker, "owner", n.Entry.Owner, "why", n.Why)
	})
	return r
}

// Start opens the ports and begins the rounds.
func (r *Registry) Start() error {
	wire.On(r.n, "session.beat", r.onBeat)
	wire.On(r.n, "session.share", r.onShare)
	wire.On(r.n, "outer.call", r.onOuter)
	wire.On(r.n, "registry.status", r.onStatus)
	wire.On(r.n, "registry.reports", r.onReports)
	r.routes = r.outerRoutes()
	if err := r.n.Listen(r.P.Inner); err != nil {
		return err
	}
	if err := outer.Serve(r.g, r.e, r.P.Outer, r.routes, r.P.Change); err != nil {
		return err
	}
	r.e.Log.Emit(event.Started, "program", "registry", "outer", r.P.Outer)
	r.g.Go("poll", r.poll)
	r.g.Every("share", r.P.Beat(), r.share)
	for _, d := range r.duties {
		r.g.Go("duty-"+d.name, d.run)
	}
	return nil
}

// inTouch tells whether a majority confirmed this node's word recently.
func (r *Registry) inTouch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.sure.IsZero() && time.Since(r.sure) <= r.P.Fresh()
}

// poll keeps the configuration here the newest: a confirmed read that waits a
// little for a change, over and over.
func (r *Registry) poll(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		have := uint64(0)
		if r.rules != nil {
			have = r.rules.Version
		}
		r.mu.Unlock()
		one, end := context.WithTimeout(ctx, r.P.Patience())
		from := time.Now()
		got, err := r.stores.read(one, store.Query{What: "config", From: have, Wait: r.P.Beat().Milliseconds()})
		end()
		if err == nil && r.takeConfig(got) {
			r.mu.Lock()
			r.sure = from
			r.trials, r.tries = got.Trials, got.Number
			r.mu.Unlock()
			r.fill(ctx)
			continue
		}
		if !r.inTouch() && r.life.Fire("lost") {
			r.e.Log.Emit(event.OutOfTouch, "with", "stores")
		}
		r.e.Pause(ctx, r.P.Beat()/4)
	}
}

// takeConfig puts a newer configuration in force here and pushes it at once.
func (r *Registry) takeConfig(got ledger.Receipt) bool {
	r.mu.Lock()
	have := uint64(0)
	if r.rules != nil {
		have = r.rules.Version
	}
	r.mu.Unlock()
	if got.Version <= have {
		// A lower version than ours can't be confirmed by a majority.
		return got.Version == have
	}
	c, bad, err := rules.Compile(got.Version, got.Doc)
	if err != nil || len(bad) > 0 {
		r.e.Log.Emit(event.ConfigBad, "version", got.Version, "faults", len(bad))
		return false
	}
	r.mu.Lock()
	r.rules = c
	r.mu.Unlock()
	r.e.Log.Emit(event.ConfigTaken, "version", c.Version)
	r.push(c)
	return true
}

// fill makes the node ready once its replica is filled from a fellow; when no
// fellow answers it goes on with what the proxies' repairs bring.
func (r *Registry) fill(ctx context.Context) {
	if r.life.Is("ready", "leaving", "shut") {
		return
	}
	r.mu.Lock()
	stale := r.filled.IsZero() || time.Since(r.filled) > r.P.Absent()
	r.mu.Unlock()
	if stale {
		one, end := context.WithTimeout(ctx, r.P.Patience())
		defer end()
		for _, a := range r.core() {
			if a != r.P.Inner && r.rep.Refill(one, a) == nil {
				break
			}
		}
	}
	if r.life.Fire("filled") {
		r.e.Log.Emit(event.Ready, "program", "registry")
	}
}

// Kill ends the process at once.
func (r *Registry) Kill() {
	r.g.Cancel()
	r.n.Close()
	r.g.Stop()
}

// Stop ends politely: duties are handed on, the proxies go elsewhere.
func (r *Registry) Stop() {
	r.e.Log.Emit(event.Stopping, "program", "registry")
	if !r.life.Fire("stop") {
		return
	}
	for _, d := range r.duties {
		d.vacate()
	}
	// Sessions are refused from now on, so within two beats all have moved.
	// Outside callers learn from readiness, which the platform polls: they are
	// served meanwhile, and calls under way get their answers.
	task.Pause(r.g.Context(), r.P.Leave)
	r.life.Fire("shut")
	for from := time.Now(); r.calls.Load() > 0 && time.Since(from) < r.P.Grace; {
		task.Pause(r.g.Context(), r.P.Beat()/10)
	}
	r.n.Leave(r.P.Beat())
	r.Kill()
	r.e.Log.Emit(event.Stopped, "program", "registry")
}

// Ready tells whether outside calls and sessions are taken.
func (r *Registry) Ready() bool { return r.life.Is("ready") && r.inTouch() }
