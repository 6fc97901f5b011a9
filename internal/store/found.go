package store

import (
	"context"
	"crypto/sha256"
	"slices"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
	"puffincrank/internal/paxos"
	"puffincrank/internal/wire"
)

func (s *Store) empty() bool { return s.role.Is("empty") }

// onFound tells a fellow whether this store holds anything.
func (s *Store) onFound(_ context.Context, _ wire.Hello, in foundAsk) (foundGot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := foundGot{Empty: s.led == nil, ID: s.acc.Me().ID, Head: s.head}
	if s.led != nil {
		got.Mesh, got.Members = s.led.Mesh, s.led.Members
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
	s.learn.Lock()
	defer s.learn.Unlock()
	if !s.empty() {
		return nil
	}
	raw, err := ledger.New(in.Mesh, in.Members).Pack()
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
	if err := s.acc.Reset(c); err != nil {
		return err
	}
	if err := s.acc.Name(paxos.Identity{ID: s.acc.Me().ID, Mesh: led.Mesh}); err != nil {
		return err
	}
	if err := s.reset(c); err != nil {
		return err
	}
	s.e.Log.Emit(say, "mesh", led.Mesh, "slot", c.Slot)
	s.mu.Lock()
	member := s.isMember(s.acc.Me().ID)
	s.mu.Unlock()
	// A joiner stays out of the voting until it is a member.
	if member {
		s.role.Fire("filled")
	}
	return nil
}

// fill is one try of an empty store to get a place.
func (s *Store) fill(ctx context.Context) {
	ctx, end := context.WithTimeout(ctx, s.P.Patience()*2)
	defer end()
	var all []ledger.Member
	bare := 0
	var from foundGot
	var at string
	ballot.Poll(ctx, s.g, s.P.Seeds, func(ctx context.Context, to string) (foundGot, error) {
		if to == s.P.Inner {
			return foundGot{Empty: true, ID: s.acc.Me().ID}, nil
		}
		return wire.Ask[foundGot](ctx, s.n, to, "store.found", foundAsk{s.acc.Me().ID, s.P.Inner})
	}, func(who string, got foundGot, err error) bool {
		if err != nil {
			return false
		}
		all = append(all, ledger.Member{ID: got.ID, Addr: who})
		if got.Empty {
			bare++
		} else if at == "" {
			from, at = got, who
		}
		return false
	})
	if at != "" {
		s.join(ctx, from, at)
		return
	}
	// Only when all three seeds are reachable and empty is a mesh founded, and
	// only by the least of them, in whatever order each has them, so that
	// there is never a second founding.
	if bare == 3 && len(s.P.Seeds) == 3 && slices.Min(s.P.Seeds) == s.P.Inner {
		s.found(ctx, all)
	}
}

func (s *Store) found(ctx context.Context, all []ledger.Member) {
	in := genesis{Mesh: s.P.Mesh + "/" + fresh(), Members: all}
	if s.begin(in) != nil {
		return
	}
	for _, m := range all {
		if m.Addr != s.P.Inner {
			// One that misses this takes it later, as one named by its fellows.
			_, _ = wire.Ask[ack](ctx, s.n, m.Addr, "store.genesis", in)
		}
	}
}

// join refills this replica from a fellow and asks the writer for a place.
func (s *Store) join(ctx context.Context, from foundGot, at string) {
	s.learn.Lock()
	s.mu.Lock()
	was := s.led == nil
	s.mu.Unlock()
	err := s.catchUp(ctx, at, 0)
	s.learn.Unlock()
	if was {
		s.e.Log.Emit(event.Joining, "by", at, "ok", err == nil)
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	slot, member := s.slot, s.isMember(s.acc.Me().ID)
	s.mu.Unlock()
	if member {
		s.role.Fire("filled")
		return
	}
	to := from.Head
	if to == "" {
		to = at
	}
	for range 2 {
		got, err := wire.Ask[joinGot](ctx, s.n, to, "store.join", joinAsk{s.acc.Me().ID, s.P.Inner, s.acc.Me().Mesh, slot})
		if err != nil || got.Head == "" || got.Head == to {
			return
		}
		to = got.Head
	}
}

// onJoin lets the writer put a refilled joiner in place of a lost member.
func (s *Store) onJoin(ctx context.Context, _ wire.Hello, in joinAsk) (joinGot, error) {
	s.mu.Lock()
	t, head := s.term, s.head
	if t == nil {
		s.mu.Unlock()
		return joinGot{Head: head}, nil
	}
	led, slot := s.led, s.slot
	members := append([]ledger.Member(nil), led.Members...)
	s.mu.Unlock()
	if in.Mesh != led.Mesh {
		s.e.Log.Emit(event.Foreign, "joiner", in.Addr, "mesh", in.Mesh)
		return joinGot{}, fault.New(fault.Refused, "joiner is of another mesh")
	}
	if in.Slot+64 < slot {
		return joinGot{Say: "not refilled yet"}, nil
	}
	old := ""
	for _, m := range members {
		// The same address with another identity: the old disk is gone.
		if m.Addr == in.Addr && m.ID != s.acc.Me().ID {
			old = m.ID
		}
	}
	if old == "" {
		old = t.missing(members, s.P.Replace)
	}
	// With a place free since a removal nobody has to go.
	if old == "" && len(members) >= 3 {
		return joinGot{Say: "no member is out of touch for long enough"}, nil
	}
	p, err := ledger.Pack("store.replace", &ledger.ReplaceStore{Old: old, New: ledger.Member{ID: in.ID, Addr: in.Addr}})
	if err != nil {
		return joinGot{}, err
	}
	r, err := t.offer(ctx, p)
	if err != nil {
		return joinGot{}, err
	}
	if r.Code == ledger.OK {
		s.e.Log.Emit(event.Replaced, "old", old, "new", in.ID, "addr", in.Addr)
	}
	return joinGot{Done: r.Code == ledger.OK, Say: r.Say}, nil
}

// outcast makes a replica that lost its place empty again, under a new
// identity: its old votes are worth nothing and must not come back.
func (s *Store) outcast() error {
	s.learn.Lock()
	defer s.learn.Unlock()
	s.acc.Wipe()
	if err := s.acc.Name(paxos.Identity{ID: fresh()}); err != nil {
		return err
	}
	s.vote.Reset()
	s.mu.Lock()
	s.led, s.slot, s.sum = nil, 0, nil
	s.mu.Unlock()
	s.role.Fire("outcast")
	return nil
}
