// Package store is the control-plane process that keeps the replicated state
// on disk. A leader elected by ballot proposes one batch of commands at a time
// with multi-decree Paxos. An entry is acknowledged when a majority has synced
// it to disk, as one file each.
package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fsm"
	"puffincrank/internal/patch"
	"puffincrank/internal/pausedetect"
	"puffincrank/internal/paxos"
	"puffincrank/internal/settings"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/task"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

// Store is one replica of the control plane. Lock order: applyLock,
// transferLock, mu, then the locks of the acceptor.
type Store struct {
	Settings settings.Settings
	env      env.Env
	tasks    *task.Group
	node     *transport.Node
	acceptor *paxos.Acceptor
	voter    *ballot.Voter
	role     *fsm.Machine

	applyLock     task.Lock // held while the applied state is extended
	snapshotLock  task.Lock // held while a snapshot is written to disk
	transferLock  task.Lock // held while a snapshot is prepared for transfer
	pauseDetector *pausedetect.Detector
	startedAt     time.Time

	mu sync.Mutex // guards all fields below except incoming, which applyLock guards

	// The applied state.
	state         *statemachine.State
	appliedIndex  uint64
	appliedDigest []byte
	appliedSignal chan struct{} // closed, and replaced, at each applied entry
	lastPatch     patch.Patch   // the newest patch that was returned to a configuration read

	// Leadership and membership.
	ballot            ballot.Number        // this store's ballot number as a candidate or leader
	leaderAddress     string               // the internal address of the leader, as last reported
	highestRound      uint64               // the highest round seen in any message
	leadership        *leadership          // set while this store is the leader
	noCampaignUntil   time.Time            // the disk is slow or failing: leave the leadership to others until then
	campaignNow       bool                 // start an election at once, even if the leader is not silent
	interruptWait     func()               // ends the wait of the main loop
	stopping          bool                 // a graceful shutdown has begun
	leaving           bool                 // accepts no more entries: the others hold all that this member has
	previousTerm      termRecord           // what the previous term knew of the members
	leaderAnsweredAt  time.Time            // when the leader last answered this learner
	leaderHintFailed  bool                 // the leader last named by a peer did not answer
	candidate         string               // the address of a candidate that has applied more than this store
	campaignNotBefore time.Time            // earliest start of an election, after a leader stepped down
	replacedAt        map[string]time.Time // when the store at an address lost its membership
	toleranceWarnAt   time.Time            // when missing fault tolerance is next worth a warning
	foreignWarnedAt   time.Time            // when a message of another cluster was last logged
	roleVoters        map[string]*ballot.Voter

	// The disk.
	diskFailing     bool                 // the disk refuses writes or is slow
	lastWriteFailed bool                 // the newest write was refused
	writesStarted   uint64               // number of writes started
	writesInFlight  map[uint64]time.Time // start times of the writes in flight
	spaceFreedAt    time.Time            // when a snapshot was last written to free space on a full disk
	snapshotRetryAt time.Time            // a failed snapshot is not retried before then

	// Snapshots and the size of the state, in bytes.
	outgoing     *outgoingSnapshot // the snapshot being sent, if any
	incoming     *download         // the snapshot being fetched, if any
	stateBytes   int               // size of the packed state when it was last packed
	logBytes     int               // size of the batches applied since
	measuredAt   time.Time         // when the state was last packed to measure it
	sizeWarnedAt time.Time         // when a state near its size bound was last logged

	// What this store's own clock says about the state.
	chosenLog     chosenLog
	leases        map[string]lease // when each lock expires
	revisionMarks []revisionMark   // which revisions were current at which time
	requestMarks  []requestMark    // how many requests had been answered at which time
}

// New opens a store over its data folder.
func New(settings settings.Settings, environment env.Env) (*Store, error) {
	acceptor, err := paxos.Open(environment.FS)
	if err != nil {
		return nil, err
	}
	s := &Store{applyLock: task.NewLock(), snapshotLock: task.NewLock(), transferLock: task.NewLock(), writesInFlight: map[uint64]time.Time{}, Settings: settings, env: environment, tasks: task.New(context.Background()).SetSleep(environment.Sleep), acceptor: acceptor, startedAt: time.Now(), replacedAt: map[string]time.Time{}, appliedSignal: make(chan struct{}), roleVoters: map[string]*ballot.Voter{}}
	s.node = transport.NewNode(transport.Hello{ClusterID: settings.ClusterID, Node: settings.Node, Zone: settings.Zone, Role: "store"}, environment, s.tasks, settings.MaxFrameBytes, settings.MaxRequests, settings.CallTimeout())
	s.node.MaxIdleLinks = settings.MaxIdleLinks()
	s.pauseDetector = pausedetect.New(settings.HeartbeatInterval(), settings.UnnoticedPause(), nil)
	acceptor.Observe = environment.Trace
	for _, file := range acceptor.DamagedFiles {
		environment.Log.Emit(event.Damaged, "file", file)
	}
	// Status reports these names: a spare is a learner, stand a candidate, write
	// the leader.
	s.role = fsm.New("empty", nil,
		fsm.Transition{From: "empty", Trigger: "refilled", To: "spare"},
		fsm.Transition{From: "empty", Trigger: "filled", To: "follow"},
		fsm.Transition{From: "spare", Trigger: "filled", To: "follow"},
		fsm.Transition{From: "follow", Trigger: "stand", To: "stand"},
		fsm.Transition{From: "stand", Trigger: "lose", To: "follow"},
		fsm.Transition{From: "stand", Trigger: "win", To: "write"},
		fsm.Transition{From: "write", Trigger: "lose", To: "follow"},
		fsm.Transition{From: "follow", Trigger: "outcast", To: "empty"})
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// promise makes the promise of a ballot number durable.
func (s *Store) promise(number ballot.Number) error {
	return s.writeDurably(func() error { return s.acceptor.Promise(number) })
}

// updateRole fires the role change that follows once a state is held: a member
// becomes a follower, any other replica a learner.
func (s *Store) updateRole() {
	// The proposer of this membership is the leader, or is about to be.
	notBefore := time.Now().Add(s.Settings.LeaderTimeout() + s.campaignDelay(ballot.Number{}))
	s.mu.Lock()
	member := s.isMember(s.acceptor.Identity().ID)
	s.campaignNotBefore = notBefore
	s.mu.Unlock()
	if member && s.role.Fire("filled") {
		s.wakeLoop(false)
	} else if !member {
		s.role.Fire("refilled")
	}
}

// canVote reports whether this replica votes in elections and accepts entries.
func (s *Store) canVote() bool { return s.role.Is("follow", "stand", "write") }

func randomID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (s *Store) announceApplied() {
	close(s.appliedSignal)
	s.appliedSignal = make(chan struct{})
}

// apply applies one chosen entry; applyLock is held.
func (s *Store) apply(entry *paxos.Entry) ([]statemachine.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	commands, results, err := s.state.Apply(entry.Batch)
	if err != nil {
		return nil, err
	}
	s.recordLeases(commands, results)
	s.appliedIndex, s.appliedDigest = entry.Index, entry.Digest()
	s.recordGrowth(len(entry.Batch))
	s.env.Trace.Notify(trace.Applied{Replica: s.acceptor.Identity().ID, Index: s.appliedIndex, Digest: string(s.appliedDigest), Members: s.memberIDs()})
	s.announceApplied()
	return results, nil
}

// Start opens the ports and starts the loops.
func (s *Store) Start() error {
	s.registerHandlers()
	if err := s.node.Listen(s.Settings.InternalAddr); err != nil {
		return err
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.env.Log.Emit(event.Started, "program", "store", "inner", s.Settings.InternalAddr, "replica", s.acceptor.Identity().ID)
	s.logOpened()
	s.tasks.Go("life", s.run)
	s.tasks.Go("pulse", func(ctx context.Context) { s.pauseDetector.Run(ctx, s.env.Sleep) })
	return nil
}

// Kill ends the process at once, as a power loss does.
func (s *Store) Kill() {
	s.tasks.Cancel()
	s.node.Close()
	s.tasks.Stop()
}

// Stop shuts down gracefully: the membership and the leadership are handed
// over first.
func (s *Store) Stop() {
	s.env.Log.Emit(event.Stopping, "program", "store")
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.leave()
	s.transferLeadership("stopping")
	s.node.CloseGracefully(s.Settings.GoodbyeTimeout())
	s.Kill()
	s.env.Log.Emit(event.Stopped, "program", "store")
}

// isMember reports whether a replica is in the current member list; mu is
// held.
func (s *Store) isMember(id string) bool {
	if s.state == nil {
		return false
	}
	for _, m := range s.state.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}
