package store

import (
	"context"
	"crypto/sha256"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
	"puffincrank/internal/paxos"
	"puffincrank/internal/trace"
	"puffincrank/internal/wire"
)

func (s *Store) empty() bool { return s.role.Is("empty") }

// onFound tells a peer whether this store holds anything.
func (s *Store) onFound(_ context.Context, _ wire.Hello, in foundAsk) (foundGot, error) {
	s.noteSuccessor(in.ID, in.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	got := foundGot{Empty: s.state == nil, ID: s.acc.Me().ID, Head: s.leaderAddress, Never: !s.P.Founding, Area: s.P.Area, Land: s.P.Region, Knows: ledger.Level}
	if s.state != nil {
		got.Mesh, got.Members, got.Slot = s.state.Mesh, s.state.Members, s.slot
	}
	return got, nil
}

// onGenesis takes the founding, if this empty replica is named in it.
func (s *Store) onGenesis(_ context.Context, _ wire.Hello, in genesis) (ack, error) {
	if !s.empty() {
		return ack{}, fault.New(fault.Refused, "not empty")
	}
	for _, m := range in.Members {
		if m.ID == s.acc.Me().ID {
			return ack{Yes: true, ID: m.ID}, s.begin(in)
		}
	}
	return ack{}, fault.New(fault.Refused, "not named in the founding")
}

// begin keeps the founding state as the checkpoint of slot 0.
func (s *Store) begin(in genesis) error {
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.empty() {
		return nil
	}
	led := ledger.New(in.Mesh, in.Members)
	led.Want, led.Level = in.Want, min(in.Level, ledger.Level)
	raw, err := led.Pack()
	if err != nil {
		return err
	}
	sum := sha256.Sum256(raw)
	return s.install(paxos.Checkpoint{Sum: sum[:], State: raw}, event.Founded)
}

// install takes a checkpoint as all that this replica holds; learn is held.
func (s *Store) install(c paxos.Checkpoint, say event.Kind) error {
	led, err := ledger.Load(c.State)
	if err != nil {
		return err
	}
	if mine := s.acc.Me().Mesh; mine != "" && mine != led.Mesh {
		s.e.Log.Emit(event.Foreign, "mesh", led.Mesh, "own", mine)
		return fault.New(fault.Refused, "data of mesh %s", led.Mesh)
	}
	err = s.writeDurably(func() error {
		if err := s.acc.Reset(c); err != nil {
			return err
		}
		return s.acc.Name(paxos.Identity{ID: s.acc.Me().ID, Mesh: led.Mesh})
	})
	if err != nil {
		return err
	}
	if err := s.reset(c); err != nil {
		return err
	}
	s.mu.Lock()
	s.e.Trace.Tell(trace.Installed{Replica: s.acc.Me().ID, Slot: s.slot, Sum: string(s.sum), Members: s.memberIDs()})
	s.mu.Unlock()
	s.e.Log.Emit(say, "mesh", led.Mesh, "slot", c.Slot)
	// A joiner stays out of the voting until it is a member.
	s.updateRole()
	return nil
}

// found gives a cluster its first state, if all seeds are reachable and empty: by
// the least of those that may, in whatever order each has them, so that there
// is never a second founding. The others learn it from its word or, later,
// from each other.
func (s *Store) found(ctx context.Context, all []foundGot, addrs []string) {
	least := ""
	in := genesis{Mesh: s.P.Mesh + "/" + fresh(), Want: s.P.Voters(), Level: ledger.Level}
	for i, got := range all {
		if !got.Never && (least == "" || addrs[i] < least) {
			least = addrs[i]
		}
		in.Level = min(in.Level, got.Knows)
		in.Members = append(in.Members, ledger.Member{ID: got.ID, Addr: addrs[i], Area: got.Area, Land: got.Land})
	}
	if least != s.P.Inner {
		return
	}
	if in.Want == 3 {
		in.Want = 0
	}
	if err := s.begin(in); err != nil {
		return
	}
	ballot.Poll(ctx, s.g, addrs, func(ctx context.Context, to string) (ack, error) {
		if to == s.P.Inner {
			return ack{}, nil
		}
		return wire.Ask[ack](ctx, s.n, to, "store.genesis", in)
	}, func(string, ack, error) bool { return false })
	s.wakeLoop(true)
}
