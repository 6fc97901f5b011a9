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
	e        env.Env
	g        *task.Group
	n        *transport.Node
	acc      *paxos.Acceptor
	voter    *ballot.Voter
	role     *fsm.Machine

	applying      task.Lock // one at a time extends the applied state
	checkpointing task.Lock // one checkpoint at a time
	imaging       task.Lock // one image of the state is made at a time
	pulse         *pausedetect.Detector
	born          time.Time

	mu sync.Mutex // guards all fields below but loading, which learn guards

	// The applied state.
	state   *statemachine.State
	slot    uint64
	sum     []byte
	applied chan struct{} // closed at each applied entry
	step    patch.Patch   // the last that a poll was given

	// Leadership and membership.
	num           ballot.Number        // our ballot while we stand or lead
	leaderAddress string               // the inner address of the leader, as last heard
	highestRound  uint64               // the highest round seen anywhere
	leadership    *leadership          // set while we lead
	restsUntil    time.Time            // until when we leave the leadership to others
	campaignNow   bool                 // stand at once, whoever is still heard
	wake          func()               // ends the wait of the loop of life
	stopping      bool                 // a polite stop has begun
	leaving       bool                 // this member accepts nothing more: the others hold what it has
	formerTerm    formerTerm           // what our last term knew of the members
	lastJoined    time.Time            // when the leader last answered this learner
	misled        bool                 // the leader that was last named by a peer didn't answer
	candidate     string               // a store that stood for election and has applied more than this one
	campaignFrom  time.Time            // after a leader gave up: from when on we stand
	replacedAt    map[string]time.Time // address to when its store lost its place
	smallSince    time.Time            // from when on a small core is worth a warning
	foreignWarned time.Time            // when a foreign cluster was last named
	duty          map[string]*ballot.Voter

	// The disk.
	diskIll         bool                 // it refuses or is slow
	lastWriteFailed bool                 // the newest write was refused
	writesBegun     uint64               // writes begun
	writesUnderWay  map[uint64]time.Time // writes under way, from when on
	easedAt         time.Time            // when a full disk was last to be freed by a checkpoint
	checkpointAfter time.Time            // until when a checkpoint that failed is not tried again

	// Snapshots and the size of the state, in bytes.
	image       *image    // the snapshot that is being sent, if any
	loading     *download // the snapshot that is being fetched, if any
	stateBytes  int       // of the packed state when it was last packed
	logBytes    int       // of the batches applied since
	weighed     time.Time // when the state was last packed to learn its size
	warnedLarge time.Time // when a state near its bound was last named

	// What this store's own clock says of the state.
	chosenLog     chosenLog
	leases        map[string]lease // when each lock's time runs out
	revisionMarks []revisionMark   // which revisions stood when
	requestMarks  []requestMark    // how many requests had been answered when
}

// New readies a store over its folder.
func New(p settings.Settings, e env.Env) (*Store, error) {
	acc, err := paxos.Open(e.FS)
	if err != nil {
		return nil, err
	}
	s := &Store{applying: task.NewLock(), checkpointing: task.NewLock(), imaging: task.NewLock(), writesUnderWay: map[uint64]time.Time{}, Settings: p, e: e, g: task.New(context.Background()).SetSleep(e.Sleep), acc: acc, born: time.Now(), replacedAt: map[string]time.Time{}, applied: make(chan struct{}), duty: map[string]*ballot.Voter{}}
	s.n = transport.NewNode(transport.Hello{ClusterID: p.ClusterID, Node: p.Node, Zone: p.Zone, Role: "store"}, e, s.g, p.MaxFrameBytes, p.MaxRequests, p.CallTimeout())
	s.n.MaxIdleLinks = p.MaxIdleLinks()
	s.pulse = pausedetect.New(p.HeartbeatInterval(), p.UnnoticedPause(), nil)
	acc.Observe = e.Trace
	for _, n := range acc.DamagedFiles {
		e.Log.Emit(event.Damaged, "file", n)
	}
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

// promise keeps a ballot number on disk.
func (s *Store) promise(n ballot.Number) error {
	return s.writeDurably(func() error { return s.acc.Promise(n) })
}

// updateRole moves the role on once something is held: a member votes, another
// stands by.
func (s *Store) updateRole() {
	// Whoever gave the place has the leadership, or is about to.
	free := time.Now().Add(s.Settings.LeaderTimeout() + s.campaignDelay(ballot.Number{}))
	s.mu.Lock()
	member := s.isMember(s.acc.Identity().ID)
	s.campaignFrom = free
	s.mu.Unlock()
	if member && s.role.Fire("filled") {
		s.wakeLoop(false)
	} else if !member {
		s.role.Fire("refilled")
	}
}

// votes tells whether this replica takes part in what a majority decides.
func (s *Store) votes() bool { return s.role.Is("follow", "stand", "write") }

func fresh() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (s *Store) announceApplied() {
	close(s.applied)
	s.applied = make(chan struct{})
}

// apply runs one chosen entry; the caller holds learn.
func (s *Store) apply(e *paxos.Entry) ([]statemachine.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cmds, out, err := s.state.Apply(e.Batch)
	if err != nil {
		return nil, err
	}
	s.recordLeases(cmds, out)
	s.slot, s.sum = e.Index, e.Digest()
	s.grown(len(e.Batch))
	s.e.Trace.Notify(trace.Applied{Replica: s.acc.Identity().ID, Index: s.slot, Digest: string(s.sum), Members: s.memberIDs()})
	s.announceApplied()
	return out, nil
}

// Start opens the ports and begins to take part.
func (s *Store) Start() error {
	s.registerHandlers()
	if err := s.n.Listen(s.Settings.InternalAddr); err != nil {
		return err
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.e.Log.Emit(event.Started, "program", "store", "inner", s.Settings.InternalAddr, "replica", s.acc.Identity().ID)
	s.tellOpened()
	s.g.Go("life", s.run)
	s.g.Go("pulse", func(ctx context.Context) { s.pulse.Run(ctx, s.e.Sleep) })
	return nil
}

// Kill ends the process at once, as power loss does.
func (s *Store) Kill() {
	s.g.Cancel()
	s.n.Close()
	s.g.Stop()
}

// Stop ends politely: the place and the leadership are handed on first.
func (s *Store) Stop() {
	s.e.Log.Emit(event.Stopping, "program", "store")
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.leave()
	s.transferLeadership("stopping")
	s.n.CloseGracefully(s.Settings.GoodbyeTimeout())
	s.Kill()
	s.e.Log.Emit(event.Stopped, "program", "store")
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
