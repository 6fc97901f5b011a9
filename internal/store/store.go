// Package store is the program that keeps the agreed versions on disk. A
// standing leader, won by ballots, proposes one batch of commands at a time;
// a majority syncs it as one file each before it is acknowledged.
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

// Store is one process. Lock order: learn, then imaging, then mu, then the
// acceptor's own.
type Store struct {
	Settings settings.Settings
	env      env.Env
	tasks    *task.Group
	node     *transport.Node
	acceptor *paxos.Acceptor
	voter    *ballot.Voter
	role     *fsm.Machine

	applyLock     task.Lock // one at a time extends the applied state
	snapshotLock  task.Lock // one checkpoint at a time
	transferLock  task.Lock // one image of the state is made at a time
	pauseDetector *pausedetect.Detector
	startedAt     time.Time

	mu sync.Mutex // guards all fields below but loading, which learn guards

	// The applied state.
	state         *statemachine.State
	appliedIndex  uint64
	appliedDigest []byte
	appliedSignal chan struct{} // closed at each applied entry
	lastPatch     patch.Step    // the last that a poll was given

	// Leadership and membership.
	ballot            ballot.Number        // our ballot while we stand or lead
	leaderAddress     string               // the inner address of the leader, as last heard
	highestRound      uint64               // the highest round seen anywhere
	leadership        *leadership          // set while we lead
	noCampaignUntil   time.Time            // until when we leave the leadership to others
	campaignNow       bool                 // stand at once, whoever is still heard
	interruptWait     func()               // ends the wait of the loop of life
	stopping          bool                 // a polite stop has begun
	leaving           bool                 // this member accepts nothing more: the others hold what it has
	previousTerm      termRecord           // what our last term knew of the members
	leaderAnsweredAt  time.Time            // when the leader last answered this learner
	leaderHintFailed  bool                 // the leader that was last named by a peer didn't answer
	candidate         string               // a store that stood for election and has applied more than this one
	campaignNotBefore time.Time            // after a leader gave up: from when on we stand
	replacedAt        map[string]time.Time // address to when its store lost its place
	toleranceWarnAt   time.Time            // from when on a small core is worth a warning
	foreignWarnedAt   time.Time            // when a foreign cluster was last named
	roleVoters        map[string]*ballot.Voter

	// The disk.
	diskFailing     bool                 // it refuses or is slow
	lastWriteFailed bool                 // the newest write was refused
	writesStarted   uint64               // writes begun
	writesInFlight  map[uint64]time.Time // writes under way, from when on
	spaceFreedAt    time.Time            // when a full disk was last to be freed by a checkpoint
	snapshotRetryAt time.Time            // until when a checkpoint that failed is not tried again

	// Snapshots and the size of the state, in bytes.
	outgoing     *outgoingSnapshot // the snapshot that is being sent, if any
	incoming     *download         // the snapshot that is being fetched, if any
	stateBytes   int               // of the packed state when it was last packed
	logBytes     int               // of the batches applied since
	measuredAt   time.Time         // when the state was last packed to learn its size
	sizeWarnedAt time.Time         // when a state near its bound was last named

	// What this store's own clock says of the state.
	chosenLog     chosenLog
	leases        map[string]lease // when each lock's time runs out
	revisionMarks []revisionMark   // which revisions stood when
	requestMarks  []requestMark    // how many requests had been answered when
}

// New readies a store over its folder.
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
	s.role = fsm.New("empty", nil,
		fsm.Move{From: "empty", By: "refilled", To: "spare"},
		fsm.Move{From: "empty", By: "filled", To: "follow"},
		fsm.Move{From: "spare", By: "filled", To: "follow"},
		fsm.Move{From: "follow", By: "stand", To: "stand"},
		fsm.Move{From: "stand", By: "lose", To: "follow"},
		fsm.Move{From: "stand", By: "win", To: "write"},
		fsm.Move{From: "write", By: "lose", To: "follow"},
		fsm.Move{From: "follow", By: "outcast", To: "empty"})
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// promise keeps a ballot number on disk.
func (s *Store) promise(number ballot.Number) error {
	return s.writeDurably(func() error { return s.acceptor.Promise(number) })
}

// updateRole moves the role on once something is held: a member votes, another
// stands by.
func (s *Store) updateRole() {
	// Whoever gave the place has the leadership, or is about to.
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

// canVote tells whether this replica takes part in what a majority decides.
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

// apply runs one chosen entry; the caller holds learn.
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

// Start opens the ports and begins to take part.
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

// Kill ends the process at once, as power loss does.
func (s *Store) Kill() {
	s.tasks.Cancel()
	s.node.Close()
	s.tasks.Stop()
}

// Stop ends politely: the place and the leadership are handed on first.
func (s *Store) Stop() {
	s.env.Log.Emit(event.Stopping, "program", "store")
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.leave()
	s.transferLeadership("stopping")
	s.node.CloseGracefully(s.Settings.FarewellTimeout())
	s.Kill()
	s.env.Log.Emit(event.Stopped, "program", "store")
}

// isMember tells whether a replica is a member of the agreed list; mu is held.
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
