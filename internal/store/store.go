// Package store is the program that keeps the agreed versions on disk. A
// standing writer, won by ballots, proposes one batch of commands at a time;
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
	"puffincrank/internal/ledger"
	"puffincrank/internal/paxos"
	"puffincrank/internal/props"
	"puffincrank/internal/state"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// Store is one process. Lock order: learn, then mu, then the acceptor's own.
type Store struct {
	P    props.Props
	e    env.Env
	g    *task.Group
	n    *wire.Node
	acc  *paxos.Acceptor
	vote *ballot.Voter
	role *state.Machine

	learn  task.Lock // one at a time extends the applied state
	mu     sync.Mutex
	led    *ledger.State
	slot   uint64
	sum    []byte
	turn   chan struct{} // closed at each applied version
	num    ballot.Number // our ballot while we stand or write
	head   string        // the inner address of the writer, as last heard
	seen   uint64        // the highest round seen anywhere
	term   *term         // set while we write
	tired  time.Time     // until when we leave the duty to others
	ill    bool          // the disk refuses or is slow
	shut   bool
	warned time.Time // when a foreign mesh was last named
	again  bool      // stand at once: a member holds a higher promise than ours
	duty   map[string]*ballot.Voter
}

// New readies a store over its folder.
func New(p props.Props, e env.Env) (*Store, error) {
	acc, err := paxos.Open(e.FS)
	if err != nil {
		return nil, err
	}
	s := &Store{learn: task.NewLock(), P: p, e: e, g: task.New(context.Background()).Pace(e.Pause), acc: acc, turn: make(chan struct{}), duty: map[string]*ballot.Voter{}}
	s.n = wire.NewNode(wire.Hello{Mesh: p.Mesh, Node: p.Node, Area: p.Area, Role: "store"}, e, s.g, p.Frame, p.Jobs, p.Patience())
	for _, n := range acc.Notes {
		e.Log.Emit(event.Damaged, "file", n)
	}
	s.role = state.New("empty", nil,
		state.Move{From: "empty", By: "filled", To: "follow"},
		state.Move{From: "follow", By: "stand", To: "stand"},
		state.Move{From: "stand", By: "lose", To: "follow"},
		state.Move{From: "stand", By: "win", To: "write"},
		state.Move{From: "write", By: "lose", To: "follow"},
		state.Move{From: "follow", By: "outcast", To: "empty"})
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// open takes up what the folder holds, or names a new empty replica.
func (s *Store) open() error {
	if s.acc.Me().ID == "" {
		if err := s.acc.Name(paxos.Identity{ID: fresh()}); err != nil {
			return err
		}
	}
	s.vote = ballot.NewVoter(s.acc.Vow(), s.P.Lease(), s.acc.Promise)
	s.seen = s.acc.Vow().Round
	if s.acc.Point() == nil {
		return nil
	}
	if err := s.reset(*s.acc.Point()); err != nil {
		return err
	}
	// What the files alone prove to be chosen is applied at once.
	for _, e := range s.acc.Sure(s.slot, s.sum) {
		if _, err := s.apply(&e); err != nil {
			return err
		}
	}
	s.role.Fire("filled")
	return nil
}

func fresh() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (s *Store) reset(c paxos.Checkpoint) error {
	led, err := ledger.Load(c.State)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.led, s.slot, s.sum = led, c.Slot, c.Sum
	s.stir()
	s.mu.Unlock()
	return nil
}

func (s *Store) stir() {
	close(s.turn)
	s.turn = make(chan struct{})
}

// apply runs one chosen version; the caller holds learn.
func (s *Store) apply(e *paxos.Entry) ([]ledger.Receipt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := s.led.Apply(e.Batch)
	if err != nil {
		return nil, err
	}
	s.slot, s.sum = e.Slot, e.Sum()
	s.stir()
	return out, nil
}

// Start opens the ports and begins to take part.
func (s *Store) Start() error {
	s.takers()
	if err := s.n.Listen(s.P.Inner); err != nil {
		return err
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.e.Log.Emit(event.Started, "program", "store", "inner", s.P.Inner, "replica", s.acc.Me().ID)
	s.g.Go("life", s.life)
	return nil
}

// life is the one loop that moves the role on.
func (s *Store) life(ctx context.Context) {
	last := time.Now()
	wait := s.P.Beat()
	for {
		s.e.Pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if now.Sub(last) > wait+s.P.Gap() {
			s.thaw(now.Sub(last))
		}
		last, wait = now, s.P.Beat()
		switch s.role.Now() {
		case "empty":
			s.fill(ctx)
		case "follow":
			s.follow(ctx)
		}
		last = time.Now()
	}
}

// thaw is called after a gap in the ticks: a duty held before it may be
// somebody else's by now.
func (s *Store) thaw(gap time.Duration) {
	s.e.Log.Emit(event.Froze, "ms", gap.Milliseconds())
	s.depose("frozen")
}

// Kill ends the process at once, as power loss does.
func (s *Store) Kill() {
	s.g.Cancel()
	s.n.Close()
	s.g.Stop()
}

// Stop ends politely: the duty is handed on first.
func (s *Store) Stop() {
	s.e.Log.Emit(event.Stopping, "program", "store")
	s.mu.Lock()
	s.shut = true
	s.mu.Unlock()
	s.resign("stopping")
	s.n.Leave(s.P.Beat())
	s.Kill()
	s.e.Log.Emit(event.Stopped, "program", "store")
}

// me tells whether this replica is a member of the agreed list; mu is held.
func (s *Store) isMember(id string) bool {
	if s.led == nil {
		return false
	}
	for _, m := range s.led.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}
