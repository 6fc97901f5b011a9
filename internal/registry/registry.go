// Package registry implements the control node that runs on each control plane machine. It
// holds the sessions of the proxies and a replica of the service registry, can win the
// roles of judge and steward, and serves the HTTP API, including the calls that the stores
// answer.
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

// Registry is one control node process. Lock order: mu before the replica's locks.
type Registry struct {
	Settings      settings.Settings
	env           env.Env
	group         *task.Group
	node          *transport.Node
	self          membership.Member
	lifecycle     *fsm.Machine
	replica       *replica.Replica
	stores        *storeClient
	handler       http.Handler
	activeCalls   atomic.Int64     // HTTP API calls in progress
	cutoff        *shutdown.Cutoff // cancels the active calls when a shutdown can wait no longer
	pauseDetector *pausedetect.Detector
	elections     []*roleElection

	mu           sync.Mutex
	sessions     map[string]*nodeSession // by node name
	peerNodes    map[string]*peerNode    // by the control node's name
	targetRounds int
	reportRounds int
	nodeList     struct {
		computedAt time.Time
		addrs      []string
		hash       uint64
	}
	reachableHash      uint64    // identifies the set of reachable control nodes
	reachableChangedAt time.Time // when reachableHash last changed
	reportDue          bool      // another control node needs a report in the next round
	encodedDiffs       struct {
		targetHash uint64
		byBaseHash map[uint64][]byte // encoded diffs from a list hash to the current list
	}
	indirectPeers map[string]time.Time // when a peer last reported this control node, by internal address
	members       *membership.Tracker  // all members, merged from all control nodes' sessions
	localMembers  *membership.Tracker  // the members with a session here
	reportedHash  uint64               // hash of localMembers as last reported to the other control nodes
	linkedHash    uint64               // hash of the member list that the replica's links were set up from
	linksUpdating bool                 // a goroutine is updating the links
	confirmedAt   time.Time            // when a majority last confirmed the configuration held here
	rules         *rules.Rules
	document      *patch.Document // the configuration document and the patches that led to it
	compressed    struct {
		version  uint64
		document []byte // the compressed document of that version
	}
	needFullDocument bool // the next poll must fetch the full document; used by pollConfig alone
	trials           []statemachine.Trial
	lastTrialNumber  uint64
	lastJudged       time.Time                          // judge: when the trials were last evaluated
	latestReports    map[reportKey]protocol.TrialReport // judge: the newest report of each proxy incarnation
	absentSince      map[string]time.Time               // steward: since when an owner has had no session
	refilledAt       time.Time
	saveLock         task.Lock  // only one goroutine saves the workers at a time
	saved            savedState // what the replica held at the last save
}

// New returns a registry that does nothing until Start is called.
func New(nodeSettings settings.Settings, environment env.Env) *Registry {
	group := task.New(context.Background()).SetSleep(environment.Sleep)
	registry := &Registry{Settings: nodeSettings, env: environment, group: group, saveLock: task.NewLock(), sessions: map[string]*nodeSession{}, peerNodes: map[string]*peerNode{}, indirectPeers: map[string]time.Time{}, absentSince: map[string]time.Time{}, latestReports: map[reportKey]protocol.TrialReport{}}
	var incarnation [6]byte
	_, _ = rand.Read(incarnation[:])
	registry.self = membership.Member{Node: nodeSettings.Node, Incarnation: hex.EncodeToString(incarnation[:]), Role: "registry", Zone: nodeSettings.Zone, InternalAddr: nodeSettings.InternalAddr, APIAddr: nodeSettings.APIAddr}
	registry.cutoff = shutdown.NewCutoff(group.Context())
	registry.members, registry.localMembers = membership.NewTracker(nodeSettings.Node, memberChangesKept), membership.NewTracker(nodeSettings.Node, memberChangesKept)
	registry.members.Set(nodeSettings.Node, registry.self)
	registry.node = transport.NewNode(transport.Hello{ClusterID: nodeSettings.ClusterID, Node: nodeSettings.Node, Zone: nodeSettings.Zone, Role: "registry"}, environment, group, nodeSettings.MaxFrameBytes, nodeSettings.MaxRequests, nodeSettings.CallTimeout())
	registry.node.MaxIdleLinks = nodeSettings.MaxIdleLinks()
	registry.replica = replica.New(registry.self, registry.node, group, environment.Log, hlc.New(environment.WallClock, 2*nodeSettings.RecoveryBound), nodeSettings.HeartbeatInterval(), nodeSettings.RepairInterval(), nodeSettings.TombstoneTTL())
	registry.document = patch.NewDocument(memberChangesKept / 16)
	registry.replica.SetRefillPending(true)
	registry.stores = newStoreClient(registry.node, nodeSettings.Stores, nodeSettings.CallTimeout(), nodeSettings.HeartbeatInterval()/4)
	registry.pauseDetector = pausedetect.New(nodeSettings.HeartbeatInterval(), nodeSettings.UnnoticedPause(), nil)
	registry.lifecycle = fsm.New("starting", nil,
		fsm.Transition{From: "starting", Trigger: "filled", To: "ready"},
		fsm.Transition{From: "ready", Trigger: "lost", To: "lost"},
		fsm.Transition{From: "lost", Trigger: "filled", To: "ready"},
		fsm.Transition{From: "starting", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "lost", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "ready", Trigger: "stop", To: "leaving"},
		fsm.Transition{From: "leaving", Trigger: "shut", To: "shut"})
	registry.elections = []*roleElection{newRoleElection(registry, "steward", registry.retireNodes), newRoleElection(registry, "judge", registry.judgeTrials)}
	registry.replica.Subscribe(func(change replica.Event) {
		if change.Kind == "departed" {
			return
		}
		kind := map[string]event.Kind{"registered": event.Registered, "unregistered": event.Unregistered, "down": event.WorkerDown}[change.Kind]
		environment.Log.Emit(kind, "service", change.Entry.Service, "worker", change.Entry.Worker, "owner", change.Entry.Owner, "why", change.Reason)
	})
	return registry
}

// Start opens the listeners and starts the background loops.
func (r *Registry) Start() error {
	transport.Handle(r.node, "session.beat", r.onHeartbeat)
	transport.Handle(r.node, "session.share", r.onSessionReport)
	transport.Handle(r.node, "session.members", r.onMemberListRequest)
	transport.Handle(r.node, "outer.call", r.onForwardedCall)
	transport.Handle(r.node, protocol.WorkerLeavingKind, r.onWorkerLeaving)
	transport.Handle(r.node, "registry.status", r.onStatus)
	transport.Handle(r.node, "registry.reports", r.onTrialReports)
	r.handler = r.newHandler()
	if err := r.node.Listen(r.Settings.InternalAddr); err != nil {
		return err
	}
	if err := httpapi.Serve(r.group, r.env, r.Settings.APIAddr, httpapi.TranslateCalls(r.env.Dialect, r.handler), r.Settings.ConfigBound); err != nil {
		return err
	}
	r.env.Log.Emit(event.Started, "program", "registry", "outer", r.Settings.APIAddr)
	r.group.Go("poll", r.pollConfig)
	r.group.Every("share", r.Settings.HeartbeatInterval(), r.reportSessions)
	r.group.Every("keep", r.Settings.HeartbeatInterval(), func(context.Context) { r.saveWorkers() })
	r.group.Go("pulse", func(ctx context.Context) { r.pauseDetector.Run(ctx, r.env.Sleep) })
	for _, election := range r.elections {
		r.group.Go("duty-"+election.name, election.run)
	}
	return nil
}

// connected reports whether a majority of the stores confirmed this node's configuration
// recently.
func (r *Registry) connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.confirmedAt.IsZero() && time.Since(r.confirmedAt) <= r.Settings.ConfirmationTTL()
}

// refill makes the node ready once its replica has been refilled from a peer. If no peer
// answers, the node becomes ready all the same, and the proxies' repairs fill the replica.
func (r *Registry) refill(ctx context.Context) {
	if r.lifecycle.Is("ready", "leaving", "shut") {
		return
	}
	r.mu.Lock()
	stale := r.refilledAt.IsZero() || time.Since(r.refilledAt) > r.Settings.MaxAbsence()
	r.mu.Unlock()
	if stale {
		callCtx, cancel := context.WithTimeout(ctx, r.Settings.CallTimeout())
		defer cancel()
		// The order is random, or nodes that start together would all query the same peer.
		addrs := r.controlNodes()
		mrand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		for _, addr := range addrs {
			if addr == r.Settings.InternalAddr {
				continue
			}
			if result, err := r.replica.Refill(callCtx, addr); err == nil && result.Done {
				break
			}
		}
		r.loadWorkers()
	}
	r.replica.SetRefillPending(false)
	r.replica.SetCompleteUntil(time.Now().Add(r.Settings.SessionTTL()))
	if r.lifecycle.Fire("filled") {
		r.env.Log.Emit(event.Ready, "program", "registry")
	}
}

// Kill ends the process at once, without a graceful shutdown.
func (r *Registry) Kill() {
	r.group.Cancel()
	r.node.Close()
	r.group.Stop()
}

// Stop shuts down gracefully: it gives up its roles, lets the proxies move to other control
// nodes, and finishes the calls in progress.
func (r *Registry) Stop() {
	r.env.Log.Emit(event.Stopping, "program", "registry")
	if !r.lifecycle.Fire("stop") {
		return
	}
	for _, election := range r.elections {
		election.vacate()
	}
	// Sessions are refused from now on, so all proxies have moved within two heartbeats.
	// API clients learn of the shutdown from the readiness endpoint, which the platform
	// polls. Until then they are served, and calls in progress get their answers. Whatever
	// the bounds are set to, the process exits before its grace period ends.
	plan := shutdown.Begin(r.Settings.GracePeriod, r.Settings.GoodbyeTimeout())
	task.Sleep(r.group.Context(), min(r.Settings.LeaveBound, r.Settings.GracePeriod/2))
	r.lifecycle.Fire("shut")
	for r.activeCalls.Load() > 0 && plan.RemainingWait() > 0 {
		task.Sleep(r.group.Context(), r.Settings.HeartbeatInterval()/10)
	}
	// Calls that are still in progress are answered that their outcome is unknown.
	r.cutoff.Trigger()
	for r.activeCalls.Load() > 0 && time.Now().Before(plan.AnswerDeadline()) {
		task.Sleep(r.group.Context(), r.Settings.HeartbeatInterval()/10)
	}
	r.node.CloseGracefully(r.Settings.GoodbyeTimeout())
	r.Kill()
	r.env.Log.Emit(event.Stopped, "program", "registry", "after_ms", plan.Elapsed().Milliseconds())
}

// Ready reports whether the node accepts API calls and sessions.
func (r *Registry) Ready() bool { return r.lifecycle.Is("ready") && r.connected() }
