// Package registry is the control node on each core machine: it holds the
// sessions of the proxies, a replica of the service registry, the roles of
// judge and steward, and takes the outside calls for the store as well.
package registry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fsm"
	"puffincrank/internal/hlc"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/membership"
	"puffincrank/internal/patch"
	"puffincrank/internal/pausedetect"
	"puffincrank/internal/protocol"
	"puffincrank/internal/replica"
	"puffincrank/internal/rules"
	"puffincrank/internal/settings"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// Registry is one process. Lock order: mu before the replica's locks.
type Registry struct {
	Settings settings.Settings
	e        env.Env
	g        *task.Group
	n        *transport.Node
	self     membership.Member
	life     *fsm.Machine
	rep      *replica.Replica
	stores   *stores
	routes   http.Handler
	calls    atomic.Int64     // outside calls under way
	late     *shutdown.Cutoff // ends them when a stop can wait no longer
	pulse    *pausedetect.Detector
	duties   []*roleElection

	mu     sync.Mutex
	own    map[string]*nodeSession // node to its session here
	others map[string]*shared      // control node to its word on its sessions
	shares int
	rounds int
	list   struct {
		at   time.Time
		core []string
		name uint64
	}
	circle  uint64    // names the control nodes heard here
	circled time.Time // when that changed last
	owe     bool      // the other control nodes wait for word
	packs   struct {
		to   uint64
		from map[uint64][]byte // differences to the list of now, packed
	}
	known   map[string]time.Time // control node, by its inner address, to when a peer named it
	roll    *membership.Tracker  // the members, by all sessions
	mine    *membership.Tracker  // those of the sessions here
	told    uint64               // the hash of mine that the other control nodes were told last
	linked  uint64               // the hash of roll that the replica's links follow
	linking bool                 // they are about to
	sure    time.Time            // when a majority last confirmed what is held here
	rules   *rules.Rules
	held    *patch.Document // the document, with the steps to it
	shrunk  struct {
		version uint64
		doc     []byte // the document of that version, compressed
	}
	whole  bool // the next document must come whole: the poll\'s own
	trials []statemachine.Trial
	tries  uint64
	looked time.Time                          // judge: the last look
	seenOf map[reportKey]protocol.TrialReport // judge: the newest report of each front's start
	away   map[string]time.Time               // steward: since when a node has no session
	filled time.Time
	saving task.Lock // one save of the workers at a time
	keptAs uint64    // the replica's digest when it was last kept on the disk
}

// New readies a registry.
func New(p settings.Settings, e env.Env) *Registry {
	g := task.New(context.Background()).SetSleep(e.Sleep)
	r := &Registry{Settings: p, e: e, g: g, saving: task.NewLock(), own: map[string]*nodeSession{}, others: map[string]*shared{}, known: map[string]time.Time{}, away: map[string]time.Time{}, seenOf: map[reportKey]protocol.TrialReport{}}
	var b [6]byte
	_, _ = rand.Read(b[:])
	r.self = membership.Member{Node: p.Node, Incarnation: hex.EncodeToString(b[:]), Role: "registry", Zone: p.Zone, InternalAddr: p.InternalAddr, APIAddr: p.APIAddr}
	r.late = shutdown.NewCutoff(g.Context())
	r.roll, r.mine = membership.NewTracker(p.Node, memberChangesKept), membership.NewTracker(p.Node, memberChangesKept)
	r.roll.Set(p.Node, r.self)
	r.n = transport.NewNode(transport.Hello{ClusterID: p.ClusterID, Node: p.Node, Zone: p.Zone, Role: "registry"}, e, g, p.MaxFrameBytes, p.MaxRequests, p.CallTimeout())
	r.n.MaxIdleLinks = p.MaxIdleLinks()
	r.rep = replica.New(r.self, r.n, g, e.Log, hlc.New(e.WallClock, 2*p.RecoveryBound), p.HeartbeatInterval(), p.RepairInterval(), p.TombstoneTTL())
	r.held = patch.NewDocument(memberChangesKept / 16)
	r.rep.SetRefillPending(true)
	r.stores = newStores(r.n, p.Stores, p.CallTimeout(), p.HeartbeatInterval()/4)
	r.pulse = pausedetect.New(p.HeartbeatInterval(), p.UnnoticedPause(), nil)
	r.life = fsm.New("starting", nil,
		fsm.Transition{From: "starting", Trigger: "filled", To: "ready"},
		fsm.Transition{From: "ready", Trigger: "lost", To: "lost"},
		fsm.Transition{From: "lost", Trigger: "filled", To: "ready"},
		fsm.Transition{From: "starting", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "lost", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "ready", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "leaving", Trigger: "shut", To: "shut"})
	r.duties = []*roleElection{newRoleElection(r, "steward", r.retireNodes), newRoleElection(r, "judge", r.judge)}
	r.rep.Subscribe(func(n replica.Event) {
		k := map[string]event.Kind{"registered": event.Registered, "unregistered": event.Unregistered, "down": event.WorkerDown}[n.Kind]
		e.Log.Emit(k, "service", n.Entry.Service, "worker", n.Entry.Worker, "owner", n.Entry.Owner, "why", n.Reason)
	})
	return r
}

// Start opens the ports and begins the rounds.
func (r *Registry) Start() error {
	transport.Handle(r.n, "session.beat", r.onBeat)
	transport.Handle(r.n, "session.share", r.onShare)
	transport.Handle(r.n, "session.members", r.onMembers)
	transport.Handle(r.n, "outer.call", r.onOuter)
	transport.Handle(r.n, protocol.WorkerLeavingKind, r.onWorkerLeaves)
	transport.Handle(r.n, "registry.status", r.onStatus)
	transport.Handle(r.n, "registry.reports", r.onReports)
	r.routes = r.outerRoutes()
	if err := r.n.Listen(r.Settings.InternalAddr); err != nil {
		return err
	}
	if err := httpapi.Serve(r.g, r.e, r.Settings.APIAddr, httpapi.TranslateCalls(r.e.Dialect, r.routes), r.Settings.ConfigBound); err != nil {
		return err
	}
	r.e.Log.Emit(event.Started, "program", "registry", "outer", r.Settings.APIAddr)
	r.g.Go("poll", r.poll)
	r.g.Every("share", r.Settings.HeartbeatInterval(), r.share)
	r.g.Every("keep", r.Settings.HeartbeatInterval(), func(context.Context) { r.saveWorkers() })
	r.g.Go("pulse", func(ctx context.Context) { r.pulse.Run(ctx, r.e.Sleep) })
	for _, d := range r.duties {
		r.g.Go("duty-"+d.name, d.run)
	}
	return nil
}

// inTouch tells whether a majority confirmed this node's word recently.
func (r *Registry) inTouch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.sure.IsZero() && time.Since(r.sure) <= r.Settings.ConfirmationTTL()
}

// fill makes the node ready once its replica is filled from a peer; when no
// peer answers it goes on with what the proxies' repairs bring.
func (r *Registry) fill(ctx context.Context) {
	if r.life.Is("ready", "leaving", "shut") {
		return
	}
	r.mu.Lock()
	stale := r.filled.IsZero() || time.Since(r.filled) > r.Settings.MaxAbsence()
	r.mu.Unlock()
	if stale {
		one, end := context.WithTimeout(ctx, r.Settings.CallTimeout())
		defer end()
		// In any order, or many that start would all ask the same.
		all := r.core()
		mrand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, a := range all {
			if a == r.Settings.InternalAddr {
				continue
			}
			if got, err := r.rep.Refill(one, a); err == nil && got.Done {
				break
			}
		}
		r.loadWorkers()
	}
	r.rep.SetRefillPending(false)
	r.rep.SetCompleteUntil(time.Now().Add(r.Settings.SessionTTL()))
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

// Stop ends politely: roles are handed on, the proxies go elsewhere.
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
	// Whatever the bounds are, it has gone by itself before its grace is over.
	plan := shutdown.Begin(r.Settings.GracePeriod, r.Settings.GoodbyeTimeout())
	task.Sleep(r.g.Context(), min(r.Settings.LeaveBound, r.Settings.GracePeriod/2))
	r.life.Fire("shut")
	for r.calls.Load() > 0 && plan.RemainingWait() > 0 {
		task.Sleep(r.g.Context(), r.Settings.HeartbeatInterval()/10)
	}
	// Each that is still under way is told that its outcome is unknown.
	r.late.Trigger()
	for r.calls.Load() > 0 && time.Now().Before(plan.AnswerDeadline()) {
		task.Sleep(r.g.Context(), r.Settings.HeartbeatInterval()/10)
	}
	r.n.CloseGracefully(r.Settings.GoodbyeTimeout())
	r.Kill()
	r.e.Log.Emit(event.Stopped, "program", "registry", "after_ms", plan.Elapsed().Milliseconds())
}

// Ready tells whether outside calls and sessions are taken.
func (r *Registry) Ready() bool { return r.life.Is("ready") && r.inTouch() }
