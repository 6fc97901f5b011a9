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
	Settings         settings.Settings
	env              env.Env
	group            *task.Group
	node             *transport.Node
	self             membership.Member
	lifecycle        *fsm.Machine
	readyCh          chan struct{} // closed when it became ready
	control          *controlclient.Client
	replica          *replica.Replica
	balancer         *balancer.Balancer
	retryBudget      *retrybudget.Budget
	nested           *nestedRoutes
	callRates        *callRates
	callerRetries    *callerRetries
	byteLimiter      *byteLimiter
	decisions        decisionLog
	callerLeftEvents *event.Limiter   // of callers that left
	runEndedEvents   *event.Limiter   // of runs ended for them
	unansweredEvents *event.Limiter   // of requests without their worker's answers
	stopLogLimit     lineLimit        // of those, since this node was told to end
	healthUpdates    *updateRate      // of what the mesh is told of its workers' fitness
	workerConns      *workerconn.Pool // to the own workers
	pauseDetector    *pausedetect.Detector
	dialect          dialect.Dialect
	trafficServer    *http.Server           // where callers come in
	connLimits       httpapi.ConnLimits     // how long callers' connections may
	keepAliveHeader  atomic.Pointer[string] // what callers are told of that
	rules            atomic.Pointer[rules.Rules]
	reloadedSettings atomic.Pointer[settings.Settings] // settings read again since the start
	activeRequests   atomic.Int64                      // jobs under way as a front
	activeAttempts   atomic.Int64                      // attempts under way as an owner
	requestSeq       atomic.Uint64
	thinLinkRefusals atomic.Int64                      // attempts refused for want of room on a link
	callersLeft      atomic.Int64                      // callers that left before their answers
	hedgeCount       atomic.Int64                      // second attempts begun beside first ones
	workersLeaving   atomic.Bool                       // this node's workers are being left for good
	stopSchedule     atomic.Pointer[shutdown.Schedule] // of the stop, once it was told to end
	incarnation      string
	startedAt        time.Time
	cutoff           *shutdown.Cutoff
	ingressAttempts  ingressAttempts // of this front, that may be hedged
	remoteRuns       remoteRuns      // at the own worker, of other fronts

	workerCallMu   sync.Mutex // one call of a worker at a time; taken before mu
	lastCalls      map[string]lastCall
	departures     map[string]time.Time // workers that are gone for good, and since when
	recordedLeaves map[string]string    // the state of leaving workers that a control node has noted

	mu                sync.Mutex
	workers           map[string]*localWorker // worker identity to its gate
	seenAttempts      map[string]time.Time
	counts            requestCounts
	armTallies        map[armKey]*armTally
	routeLastUsed     map[string]time.Time // path to its newest job
	drainedByOperator bool                 // an operator drained this node
}

type requestCounts struct{ Jobs, Done, Refused, Unknown, Sends, Near int64 }

// New readies a proxy.
func New(conf settings.Settings, environ env.Env) *Proxy {
	group := task.New(context.Background()).SetSleep(environ.Sleep)
	x := &Proxy{Settings: conf, env: environ, group: group, readyCh: make(chan struct{}), workers: map[string]*localWorker{}, seenAttempts: map[string]time.Time{}, armTallies: map[armKey]*armTally{}, routeLastUsed: map[string]time.Time{}, lastCalls: map[string]lastCall{}, departures: map[string]time.Time{}, recordedLeaves: map[string]string{}, incarnation: newIncarnation(), startedAt: time.Now(), dialect: environ.Dialect}
	x.cutoff = shutdown.NewCutoff(group.Context())
	x.ingressAttempts.byID, x.remoteRuns.byID = map[string]*ingressAttempt{}, map[string]context.Context{}
	if x.dialect.Name == "" {
		x.dialect = dialect.Default
	}
	x.self = membership.Member{Node: conf.Node, Incarnation: x.incarnation, Role: "proxy", Zone: conf.Zone, InternalAddr: conf.InternalAddr, APIAddr: conf.APIAddr, TrafficAddr: conf.TrafficAddr}
	x.node = transport.NewNode(transport.Hello{ClusterID: conf.ClusterID, Node: conf.Node, Zone: conf.Zone, Role: "proxy"}, environ, group, conf.MaxFrameBytes, conf.MaxRequests, conf.CallTimeout())
	x.node.MaxIdleLinks = conf.MaxIdleLinks()
	x.replica = replica.New(x.self, x.node, group, environ.Log, hlc.New(environ.Wall, 2*conf.RecoveryBound), conf.HeartbeatInterval(), conf.RepairInterval(), conf.TombstoneTTL())
	x.balancer = balancer.New(conf.Zone, conf.HeartbeatInterval(), conf.RetryWindow, x.onHealthChange)
	x.retryBudget = retrybudget.New(conf.RetryWindow)
	x.nested = newNestedRoutes()
	x.callRates = newCallRates()
	x.callerRetries = newCallerRetries(conf.HeartbeatInterval() / 32)
	x.byteLimiter = newByteLimiter(&conf)
	x.callerLeftEvents, x.runEndedEvents = event.NewLimiter(conf.HeartbeatInterval()), event.NewLimiter(conf.HeartbeatInterval())
	x.unansweredEvents = event.NewLimiter(conf.HeartbeatInterval())
	x.connLimits.SetMaxConns(maxCallerConns(&conf))
	x.setConnLimits(nil)
	x.healthUpdates = newUpdateRate(time.Now())
	x.pauseDetector = pausedetect.New(conf.HeartbeatInterval()/4, conf.PauseThreshold(), func(gap time.Duration) { environ.Log.Emit(event.Paused, "ms", gap.Milliseconds()) })
	x.control = newControlClient(x)
	x.workerConns = workerconn.NewPool(environ.Net, group, conf.ConfigBound, int64(max(conf.MaxBodyBytes, conf.MaxFrameBytes/2))+64<<10, x.dialect.IdentifiesConns)
	x.lifecycle = fsm.New("starting", nil,
		fsm.Move{From: "starting", By: "filled", To: "ready"},
		fsm.Move{From: "starting", By: "stop", To: "leaving"},
		fsm.Move{From: "ready", By: "stop", To: "leaving"},
		fsm.Move{From: "leaving", By: "shut", To: "shut"},
		fsm.Move{From: "shut", By: "end", To: "ended"})
	x.replica.Subscribe(x.onRegistryEvent)
	return x
}

func newIncarnation() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (x *Proxy) onHealthChange(worker string, healthy bool) {
	if healthy {
		x.env.Log.Emit(event.WorkerHealthy, "worker", worker)
	} else {
		x.env.Log.Emit(event.WorkerUnhealthy, "worker", worker)
	}
}

// onRegistryEvent logs the registry's events and forgets workers that are gone for good.
func (x *Proxy) onRegistryEvent(update replica.Event) {
	if update.Kind == "registered" {
		x.env.Log.Emit(event.Registered, "service", update.Entry.Service, "worker", update.Entry.Worker, "owner", update.Entry.Owner)
		return
	}
	kind := event.Unregistered
	if update.Kind == "down" {
		kind = event.WorkerDown
	}
	x.env.Log.Emit(kind, "service", update.Entry.Service, "worker", update.Entry.Worker, "owner", update.Entry.Owner, "why", update.Reason)
	for _, entry := range x.replica.Lookup(update.Entry.Service) {
		if entry.Worker == update.Entry.Worker {
			return
		}
	}
	x.balancer.Forget(update.Entry.Worker)
}

// AcceptsRequests tells whether jobs are taken: a leaving node takes them for a while.
func (x *Proxy) AcceptsRequests() bool { return x.lifecycle.Is("ready", "leaving") }

// Ready tells the platform whether to send callers here.
func (x *Proxy) Ready() bool { return x.lifecycle.Is("ready") }

// Kill ends the process at once.
func (x *Proxy) Kill() {
	x.group.Cancel()
	x.node.Close()
	x.workerConns.Close()
	x.group.Stop()
}

// expireState drops attempt ids that are older than any time left could be.
func (x *Proxy) expireState(context.Context) {
	// Whoever was away for longer than graves are kept may have brought them back.
	if x.lifecycle.Is("ready") {
		x.retireOldEntries()
	}
	x.workerConns.CloseIdle()
	x.expireCalls()
	x.callerRetries.expire(time.Now())
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, expiry := range x.seenAttempts {
		if time.Now().After(expiry) {
			delete(x.seenAttempts, id)
		}
	}
}

// LinkCount counts the links to fellows that stand, whoever dialed them.
func (x *Proxy) LinkCount() int { return x.node.LinkCount() }
