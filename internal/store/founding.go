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

func (s *Store) isEmpty() bool { return s.role.Is("empty") }

// onProbe tells a peer whether this store holds anything.
func (s *Store) onProbe(_ context.Context, _ transport.Hello, request foundAsk) (foundGot, error) {
	s.detectReplacedLeader(request.ID, request.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := foundGot{Empty: s.state == nil, ID: s.acceptor.Identity().ID, LeaderAddr: s.leaderAddress, MayNotFound: !s.Settings.MayFound, Zone: s.Settings.Zone, Region: s.Settings.Region, CommandLevel: statemachine.Level}
	if s.state != nil {
		response.ClusterID, response.Members, response.Applied = s.state.ClusterID, s.state.Members, s.appliedIndex
	}
	return response, nil
}

// onGenesis takes the founding, if this empty replica is named in it.
func (s *Store) onGenesis(_ context.Context, _ transport.Hello, founding genesis) (ack, error) {
	if !s.isEmpty() {
		return ack{}, fault.New(fault.Refused, "not empty")
	}
	own := s.acceptor.Identity().ID
	if err := checkFounders(founding.Members, own); err != nil {
		s.env.Log.Emit(event.ForeignData, "mesh", founding.ClusterID, "why", err.Error())
		return ack{}, err
	}
	return ack{OK: true, ID: own}, s.installFounding(founding)
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
	if count := len(members); count%2 == 0 && count != 2 {
		return fault.New(fault.Refused, "the founding names %d members, an even number", count)
	}
	return nil
}

// founders gives the members that found a cluster: all that were found, but for
// the last by address, not the founder itself, where they are of an even number
// above two. That one stands by, and gets a place when one is free.
func founders(candidates []statemachine.Member, founder string) []statemachine.Member {
	if count := len(candidates); count%2 == 1 || count == 2 {
		return candidates
	}
	last := -1
	for i, m := range candidates {
		if m.Addr != founder && (last < 0 || m.Addr > candidates[last].Addr) {
			last = i
		}
	}
	return slices.Delete(slices.Clone(candidates), last, last+1)
}

func memberAddresses(members []statemachine.Member) []string {
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.Addr)
	}
	return addresses
}

// installFounding keeps the founding state as the checkpoint of slot 0.
func (s *Store) installFounding(founding genesis) error {
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	if !s.isEmpty() {
		return nil
	}
	state := statemachine.New(founding.ClusterID, founding.Members)
	state.WantedMembers, state.Level = founding.WantedMembers, min(founding.CommandLevel, statemachine.Level)
	encoded, err := state.Pack()
	if err != nil {
		return err
	}
	digest := sha256.Sum256(encoded)
	return s.installSnapshot(paxos.Snapshot{Digest: digest[:], State: encoded}, event.Founded)
}

// installSnapshot takes a checkpoint as all that this replica holds, unless it is of a
// newer format, of a newer program's state or of another cluster; learn is held.
func (s *Store) installSnapshot(snapshot paxos.Snapshot, kind event.Kind) error {
	if snapshot.Format > paxos.Format {
		s.env.Log.Emit(event.ForeignData, "format", snapshot.Format, "own", paxos.Format)
		return fault.New(fault.Input, "a snapshot of format %d, newer than %d", snapshot.Format, paxos.Format)
	}
	state, err := statemachine.Load(snapshot.State)
	if err != nil {
		s.env.Log.Emit(event.ForeignData, "slot", snapshot.Index, "why", err.Error())
		return err
	}
	if clusterID := s.acceptor.Identity().ClusterID; clusterID != "" && clusterID != state.ClusterID {
		s.env.Log.Emit(event.ForeignData, "mesh", state.ClusterID, "own", clusterID)
		return fault.New(fault.Refused, "data of mesh %s", state.ClusterID)
	}
	err = s.writeDurably(func() error {
		if err := s.acceptor.InstallSnapshot(snapshot); err != nil {
			return err
		}
		return s.acceptor.SetIdentity(paxos.Identity{ID: s.acceptor.Identity().ID, ClusterID: state.ClusterID})
	})
	if err != nil {
		return err
	}
	if err := s.loadState(snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	s.env.Trace.Notify(trace.Installed{Replica: s.acceptor.Identity().ID, Index: s.appliedIndex, Digest: string(s.appliedDigest), Members: s.memberIDs()})
	s.mu.Unlock()
	s.env.Log.Emit(kind, "mesh", state.ClusterID, "slot", snapshot.Index)
	// A joiner stays out of the voting until it is a member.
	s.updateRole()
	return nil
}

// foundCluster gives a cluster its first state, if all seeds are reachable and empty: by
// the least of those that may, in whatever order each has them, so that there
// is never a second founding. The others learn it from its word or, later,
// from each other.
func (s *Store) foundCluster(ctx context.Context, responses []foundGot, addresses []string) {
	founder := ""
	founding := genesis{ClusterID: s.Settings.ClusterID + "/" + randomID(), WantedMembers: s.Settings.Voters(), CommandLevel: statemachine.Level}
	for i, response := range responses {
		if !response.MayNotFound && (founder == "" || addresses[i] < founder) {
			founder = addresses[i]
		}
		founding.CommandLevel = min(founding.CommandLevel, response.CommandLevel)
		founding.Members = append(founding.Members, statemachine.Member{ID: response.ID, Addr: addresses[i], Zone: response.Zone, Region: response.Region})
	}
	if founder != s.Settings.InternalAddr {
		return
	}
	if founding.WantedMembers == 3 {
		founding.WantedMembers = 0
	}
	founding.Members = founders(founding.Members, s.Settings.InternalAddr)
	if err := checkFounders(founding.Members, s.acceptor.Identity().ID); err != nil {
		s.env.Log.Emit(event.ForeignData, "mesh", founding.ClusterID, "why", err.Error())
		return
	}
	if err := s.installFounding(founding); err != nil {
		return
	}
	ballot.Poll(ctx, s.tasks, memberAddresses(founding.Members), func(ctx context.Context, to string) (ack, error) {
		if to == s.Settings.InternalAddr {
			return ack{}, nil
		}
		return transport.Call[ack](ctx, s.node, to, "store.genesis", founding)
	}, func(string, ack, error) bool { return false })
	s.wakeLoop(true)
}
