package store

import (
	"context"
	"crypto/sha256"
	"slices"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

func (s *Store) empty() bool { return s.role.Is("empty") }

// onFound tells a peer whether this store holds anything.
func (s *Store) onFound(_ context.Context, _ transport.Hello, in probeRequest) (probeResponse, error) {
	s.noteSuccessor(in.ID, in.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	got := probeResponse{Empty: s.state == nil, ID: s.acc.Identity().ID, Head: s.leaderAddress, Never: !s.Settings.MayFound, Area: s.Settings.Zone, Land: s.Settings.Region, Knows: statemachine.Level}
	if s.state != nil {
		got.Mesh, got.Members, got.Slot = s.state.ClusterID, s.state.Members, s.slot
	}
	return got, nil
}

// onGenesis takes the founding, if this empty replica is named in it.
func (s *Store) onGenesis(_ context.Context, _ transport.Hello, in genesis) (ack, error) {
	if !s.empty() {
		return ack{}, fault.New(fault.Refused, "not empty")
	}
	own := s.acc.Identity().ID
	if err := checkFounders(in.Members, own); err != nil {
		s.e.Log.Emit(event.ForeignData, "mesh", in.Mesh, "why", err.Error())
		return ack{}, err
	}
	return ack{Yes: true, ID: own}, s.begin(in)
}

// checkFounders refuses a list of founding members that doesn't name the receiver,
// names a replica or an address twice, or is of an even number: the one more
// bears no more losses, and every decision would wait for it. Two are let through,
// since one alone would have the only copy.
func checkFounders(members []statemachine.Member, receiver string) error {
	named := map[string]bool{}
	for _, m := range members {
		if m.ID == "" || m.Addr == "" {
			return fault.New(fault.Refused, "the founding has a member without identity or address")
		}
		if named[m.ID] || named["at "+m.Addr] {
			return fault.New(fault.Refused, "the founding names %s at %s twice", m.ID, m.Addr)
		}
		named[m.ID], named["at "+m.Addr] = true, true
	}
	if !named[receiver] {
		return fault.New(fault.Refused, "not named in the founding")
	}
	if n := len(members); n%2 == 0 && n != 2 {
		return fault.New(fault.Refused, "the founding names %d members, an even number", n)
	}
	return nil
}

// founders gives the members that found a cluster: all that were found, but for
// the last by address, not the founder itself, where they are of an even number
// above two. That one stands by, and gets a place when one is free.
func founders(all []statemachine.Member, founder string) []statemachine.Member {
	if n := len(all); n%2 == 1 || n == 2 {
		return all
	}
	last := -1
	for i, m := range all {
		if m.Addr != founder && (last < 0 || m.Addr > all[last].Addr) {
			last = i
		}
	}
	return slices.Delete(slices.Clone(all), last, last+1)
}

func memberAddresses(members []statemachine.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Addr)
	}
	return out
}

// begin keeps the founding state as the checkpoint of slot 0.
func (s *Store) begin(in genesis) error {
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.empty() {
		return nil
	}
	led := statemachine.New(in.Mesh, in.Members)
	led.WantedMembers, led.Level = in.Want, min(in.Level, statemachine.Level)
	raw, err := led.Pack()
	if err != nil {
		return err
	}
	sum := sha256.Sum256(raw)
	return s.install(paxos.Snapshot{Digest: sum[:], State: raw}, event.Founded)
}

// install takes a checkpoint as all that this replica holds, unless it is of a
// newer format, of a newer program's state or of another cluster; learn is held.
func (s *Store) install(c paxos.Snapshot, say event.Kind) error {
	if c.Format > paxos.Format {
		s.e.Log.Emit(event.ForeignData, "format", c.Format, "own", paxos.Format)
		return fault.New(fault.Input, "a snapshot of format %d, newer than %d", c.Format, paxos.Format)
	}
	led, err := statemachine.Load(c.State)
	if err != nil {
		s.e.Log.Emit(event.ForeignData, "slot", c.Index, "why", err.Error())
		return err
	}
	if mine := s.acc.Identity().ClusterID; mine != "" && mine != led.ClusterID {
		s.e.Log.Emit(event.ForeignData, "mesh", led.ClusterID, "own", mine)
		return fault.New(fault.Refused, "data of mesh %s", led.ClusterID)
	}
	err = s.writeDurably(func() error {
		if err := s.acc.InstallSnapshot(c); err != nil {
			return err
		}
		return s.acc.SetIdentity(paxos.Identity{ID: s.acc.Identity().ID, ClusterID: led.ClusterID})
	})
	if err != nil {
		return err
	}
	if err := s.reset(c); err != nil {
		return err
	}
	s.mu.Lock()
	s.e.Trace.Notify(trace.Installed{Replica: s.acc.Identity().ID, Index: s.slot, Digest: string(s.sum), Members: s.memberIDs()})
	s.mu.Unlock()
	s.e.Log.Emit(say, "mesh", led.ClusterID, "slot", c.Index)
	// A joiner stays out of the voting until it is a member.
	s.updateRole()
	return nil
}

// found gives a cluster its first state, if all seeds are reachable and empty: by
// the least of those that may, in whatever order each has them, so that there
// is never a second founding. The others learn it from its word or, later,
// from each other.
func (s *Store) found(ctx context.Context, all []probeResponse, addrs []string) {
	least := ""
	in := genesis{Mesh: s.Settings.ClusterID + "/" + fresh(), Want: s.Settings.Voters(), Level: statemachine.Level}
	for i, got := range all {
		if !got.Never && (least == "" || addrs[i] < least) {
			least = addrs[i]
		}
		in.Level = min(in.Level, got.Knows)
		in.Members = append(in.Members, statemachine.Member{ID: got.ID, Addr: addrs[i], Zone: got.Area, Region: got.Land})
	}
	if least != s.Settings.InternalAddr {
		return
	}
	if in.Want == 3 {
		in.Want = 0
	}
	in.Members = founders(in.Members, s.Settings.InternalAddr)
	if err := checkFounders(in.Members, s.acc.Identity().ID); err != nil {
		s.e.Log.Emit(event.ForeignData, "mesh", in.Mesh, "why", err.Error())
		return
	}
	if err := s.begin(in); err != nil {
		return
	}
	ballot.Poll(ctx, s.g, memberAddresses(in.Members), func(ctx context.Context, to string) (ack, error) {
		if to == s.Settings.InternalAddr {
			return ack{}, nil
		}
		return transport.Call[ack](ctx, s.n, to, "store.genesis", in)
	}, func(string, ack, error) bool { return false })
	s.wakeLoop(true)
}
