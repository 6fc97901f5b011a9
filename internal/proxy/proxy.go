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

	"puffincrank/internal/balancer"
	"puffincrank/internal/controlclient"
	"puffincrank/internal/dialect"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fsm"
	"puffincrank/internal/hlc"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/membership"
	"puffincrank/internal/pausedetect"
	"puffincrank/internal/replica"
	"puffincrank/internal/retrybudget"
	"puffincrank/internal/rules"
	"puffincrank/internal/settings"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
	"puffincrank/internal/workerconn"
)

// Proxy is one process. Lock order: mu before a gate's own lock.
type Proxy struct {
	Settings    settings.Settings
	e           env.Env
	g           *task.Group
	n           *transport.Node
	self        membership.Member
	life        *fsm.Machine
	well        chan struct{} // closed when it became ready
	touch       *controlclient.Client
	rep         *replica.Replica
	pick        *balancer.Balancer
	again       *retrybudget.Budget
	kin         *kin
	calls       *calls
	knows       *recall
	load        *load
	trail       trail
	gone        *event.Limiter   // of callers that left
	runsEnded   *event.Limiter   // of runs ended for them
	unanswered  *event.Limiter   // of requests without their worker's answers
	stopLines   stopLines        // of those, since this node was told to end
	fitnessNews *newsRate        // of what the mesh is told of its workers' fitness
	conns       *workerconn.Pool // to the own workers
	pulse       *pausedetect.Detector
	say         dialect.Dialect
	door        *http.Server           // where callers come in
	stay        httpapi.ConnLimits     // how long callers' connections may
	told        atomic.Pointer[string] // what callers are told of that
	rules       atomic.Pointer[rules.Rules]
	reset       atomic.Pointer[settings.Settings] // settings read again since the start
	busy        atomic.Int64                      // jobs under way as a front
	owned       atomic.Int64                      // attempts under way as an owner
	seq         atomic.Uint64
	slim        atomic.Int64                      // attempts refused for want of room on a link
	quit        atomic.Int64                      // callers that left before their answers
	hedges      atomic.Int64                      // second attempts begun beside first ones
	left        atomic.Bool                       // this node's workers are being left for good
	stop        atomic.Pointer[shutdown.Schedule] // of the stop, once it was told to end
	boot        string
	born        time.Time
	late        *shutdown.Cutoff
	attempts    attempts   // of this front, that may be hedged
	remote      remoteRuns // at the own worker, of other fronts

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
func New(p settings.Settings, e env.Env) *Proxy {
	g := task.New(context.Background()).SetSleep(e.Sleep)
	x := &Proxy{Settings: p, e: e, g: g, well: make(chan struct{}), gates: map[string]*gate{}, met: map[string]time.Time{}, tally: map[armKey]*armTally{}, live: map[string]time.Time{}, lastCalls: map[string]lastCall{}, departures: map[string]time.Time{}, kept: map[string]string{}, boot: fresh(), born: time.Now(), say: e.Dialect}
	x.late = shutdown.NewCutoff(g.Context())
	x.attempts.by, x.remote.by = map[string]*attempt{}, map[string]context.Context{}
	if x.say.Name == "" {
		x.say = dialect.Default
	}
	x.self = membership.Member{Node: p.Node, Incarnation: x.boot, Role: "proxy", Zone: p.Zone, InternalAddr: p.InternalAddr, APIAddr: p.APIAddr, TrafficAddr: p.TrafficAddr}
	x.n = transport.NewNode(transport.Hello{ClusterID: p.ClusterID, Node: p.Node, Zone: p.Zone, Role: "proxy"}, e, g, p.MaxFrameBytes, p.MaxRequests, p.CallTimeout())
	x.n.MaxIdleLinks = p.MaxIdleLinks()
	x.rep = replica.New(x.self, x.n, g, e.Log, hlc.New(e.WallClock, 2*p.RecoveryBound), p.HeartbeatInterval(), p.RepairInterval(), p.TombstoneTTL())
	x.pick = balancer.New(p.Zone, p.HeartbeatInterval(), p.RetryWindow, x.fitness)
	x.again = retrybudget.New(p.RetryWindow)
	x.kin = newKin()
	x.calls = newCalls()
	x.knows = newRecall(p.HeartbeatInterval() / 32)
	x.load = newLoad(&p)
	x.gone, x.runsEnded = event.NewLimiter(p.HeartbeatInterval()), event.NewLimiter(p.HeartbeatInterval())
	x.unanswered = event.NewLimiter(p.HeartbeatInterval())
	x.stay.SetMaxConns(callers(&p))
	x.limits(nil)
	x.fitnessNews = newNewsRate(time.Now())
	x.pulse = pausedetect.New(p.HeartbeatInterval()/4, p.PauseThreshold(), func(gap time.Duration) { e.Log.Emit(event.Paused, "ms", gap.Milliseconds()) })
	x.touch = newTouch(x)
	x.conns = workerconn.NewPool(e.Net, g, p.ConfigBound, int64(max(p.MaxBodyBytes, p.MaxFrameBytes/2))+64<<10, x.say.IdentifiesConns)
	x.life = fsm.New("starting", nil,
		fsm.Transition{From: "starting", Trigger: "filled", To: "ready"},
		fsm.Transition{From: "starting", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "ready", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "leaving", Trigger: "shut", To: "shut"},
		fsm.Transition{From: "shut", Trigger: "end", To: "ended"})
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
		x.e.Log.Emit(event.WorkerHealthy, "worker", worker)
	} else {
		x.e.Log.Emit(event.WorkerUnhealthy, "worker", worker)
	}
}

// news logs the registry's events and forgets workers that are gone for good.
func (x *Proxy) news(n replica.Event) {
	if n.Kind == "registered" {
		x.e.Log.Emit(event.Registered, "service", n.Entry.Service, "worker", n.Entry.Worker, "owner", n.Entry.Owner)
		return
	}
	k := event.Unregistered
	if n.Kind == "down" {
		k = event.WorkerDown
	}
	x.e.Log.Emit(k, "service", n.Entry.Service, "worker", n.Entry.Worker, "owner", n.Entry.Owner, "why", n.Reason)
	for _, e := range x.rep.Lookup(n.Entry.Service) {
		if e.Worker == n.Entry.Worker {
			return
		}
	}
	x.pick.Forget(n.Entry.Worker)
}

// AcceptsRequests tells whether jobs are taken: a leaving node takes them for a while.
func (x *Proxy) AcceptsRequests() bool { return x.life.Is("ready", "leaving") }

// Ready tells the platform whether to send callers here.
func (x *Proxy) Ready() bool { return x.life.Is("ready") }

// Kill ends the process at once.
func (x *Proxy) Kill() {
	x.g.Cancel()
	x.n.Close()
	x.conns.Close()
	x.g.Stop()
}

// forget drops attempt ids that are older than any time left could be.
func (x *Proxy) forget(context.Context) {
	// Whoever was away for longer than graves are kept may have brought them back.
	if x.life.Is("ready") {
		x.buryOld()
	}
	x.conns.CloseIdle()
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

// LinkCount counts the links to fellows that stand, whoever dialed them.
func (x *Proxy) LinkCount() int { return x.n.LinkCount() }
