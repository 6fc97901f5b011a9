// Package proxy is the node that runs beside each worker. As the ingress it takes callers'
// requests; as the owner of its worker it is the only process that delivers requests to that
// worker.
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

// Proxy is one process. Lock order: mu before the lock of a localWorker.
type Proxy struct {
	Settings         settings.Settings
	env              env.Env
	group            *task.Group
	node             *transport.Node
	self             membership.Member
	lifecycle        *fsm.Machine
	readyCh          chan struct{} // closed when the node becomes ready
	control          *controlclient.Client
	replica          *replica.Replica
	balancer         *balancer.Balancer
	retryBudget      *retrybudget.Budget
	nested           *nestedRoutes
	callRates        *callRates
	callerRetries    *callerRetries
	byteLimiter      *byteLimiter
	decisions        decisionLog
	callerLeftEvents *event.Limiter   // limits the log lines about callers that left
	runEndedEvents   *event.Limiter   // limits the log lines about runs that this node ended
	unansweredEvents *event.Limiter   // limits the log lines about requests without their worker's response
	stopLogLimit     lineLimit        // limits such lines after the stop signal
	healthUpdates    *updateRate      // limits how often the health of local workers is published
	workerConns      *workerconn.Pool // to the local workers
	pauseDetector    *pausedetect.Detector
	dialect          dialect.Dialect
	trafficServer    *http.Server           // accepts callers' connections
	connLimits       httpapi.ConnLimits     // limits on callers' connections
	keepAliveHeader  atomic.Pointer[string] // the idle timeout that callers are told
	rules            atomic.Pointer[rules.Rules]
	reloadedSettings atomic.Pointer[settings.Settings] // settings reloaded since the start
	activeRequests   atomic.Int64                      // requests in progress at this ingress
	activeAttempts   atomic.Int64                      // attempts in progress at this owner
	requestSeq       atomic.Uint64
	thinLinkRefusals atomic.Int64                      // attempts refused because a link was full
	callersLeft      atomic.Int64                      // callers that left before their responses
	hedgeCount       atomic.Int64                      // second attempts started beside first ones
	workersLeaving   atomic.Bool                       // the local workers are being drained for a shutdown
	stopSchedule     atomic.Pointer[shutdown.Schedule] // set once the stop signal has come
	incarnation      string
	startedAt        time.Time
	cutoff           *shutdown.Cutoff
	ingressAttempts  ingressAttempts // of this ingress, that may be hedged
	remoteRuns       remoteRuns      // of other ingresses, at the local worker

	workerCallMu   sync.Mutex // serializes workers' calls; taken before mu
	lastCalls      map[string]lastCall
	evictions      map[string]eviction // workers whose address another one has claimed
	recordedLeaves map[string]string   // states of leaving workers that a control node has recorded

	mu                sync.Mutex
	workers           map[string]*localWorker // by worker ID
	seenAttempts      map[string]time.Time
	counts            requestCounts
	armTallies        map[armKey]*armCounts
	routeLastUsed     map[string]time.Time // route to the time of its newest request
	drainedByOperator bool                 // set when an operator drains this node
}

type requestCounts struct{ Jobs, Done, Refused, Unknown, Sends, Near int64 }

// New prepares a proxy; Start makes it serve.
func New(conf settings.Settings, environ env.Env) *Proxy {
	group := task.New(context.Background()).SetSleep(environ.Sleep)
	x := &Proxy{Settings: conf, env: environ, group: group, readyCh: make(chan struct{}), workers: map[string]*localWorker{}, seenAttempts: map[string]time.Time{}, armTallies: map[armKey]*armCounts{}, routeLastUsed: map[string]time.Time{}, lastCalls: map[string]lastCall{}, evictions: map[string]eviction{}, recordedLeaves: map[string]string{}, incarnation: newIncarnation(), startedAt: time.Now(), dialect: environ.Dialect}
	x.cutoff = shutdown.NewCutoff(group.Context())
	x.ingressAttempts.byID, x.remoteRuns.byID = map[string]*ingressAttempt{}, map[string]context.Context{}
	if x.dialect.Name == "" {
		x.dialect = dialect.Default
	}
	x.self = membership.Member{Node: conf.Node, Incarnation: x.incarnation, Role: "proxy", Zone: conf.Zone, InternalAddr: conf.InternalAddr, APIAddr: conf.APIAddr, TrafficAddr: conf.TrafficAddr}
	x.node = transport.NewNode(transport.Hello{ClusterID: conf.ClusterID, Node: conf.Node, Zone: conf.Zone, Role: "proxy"}, environ, group, conf.MaxFrameBytes, conf.MaxRequests, conf.CallTimeout())
	x.node.MaxIdleLinks = conf.MaxIdleLinks()
	x.replica = replica.New(x.self, x.node, group, environ.Log, hlc.New(environ.WallClock, 2*conf.RecoveryBound), conf.HeartbeatInterval(), conf.RepairInterval(), conf.TombstoneTTL())
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
		fsm.Transition{From: "starting", Trigger: "filled", To: "ready"},
		fsm.Transition{From: "starting", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "ready", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "leaving", Trigger: "shut", To: "shut"},
		fsm.Transition{From: "shut", Trigger: "end", To: "ended"})
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

// onRegistryEvent logs the registry's events, applies those that concern this node's workers, and
// drops balancer state of workers that are gone.
func (x *Proxy) onRegistryEvent(update replica.Event) {
	x.followRegistry(update)
	if update.Kind == "departed" {
		return
	}
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

// AcceptsRequests tells whether requests are accepted; a leaving node still accepts them for a
// while.
func (x *Proxy) AcceptsRequests() bool { return x.lifecycle.Is("ready", "leaving") }

// Ready tells the platform whether to send callers to this node.
func (x *Proxy) Ready() bool { return x.lifecycle.Is("ready") }

// Kill ends the process without a graceful shutdown.
func (x *Proxy) Kill() {
	x.group.Cancel()
	x.node.Close()
	x.workerConns.Close()
	x.group.Stop()
}

// expireState drops expired state, such as the IDs of attempts that can no longer be in
// progress.
func (x *Proxy) expireState(context.Context) {
	// A node that was away for longer than the tombstone TTL may have brought old entries back.
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

// LinkCount counts the open links to peers, whichever side dialed them.
func (x *Proxy) LinkCount() int { return x.node.LinkCount() }
