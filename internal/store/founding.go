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

// onProbe reports what this store holds.
func (s *Store) onProbe(_ context.Context, _ transport.Hello, request probeRequest) (probeResponse, error) {
	s.detectReplacedLeader(request.ID, request.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := probeResponse{Empty: s.state == nil, ID: s.acceptor.Identity().ID, LeaderAddr: s.leaderAddress, MayNotFound: !s.Settings.MayFound, Zone: s.Settings.Zone, Region: s.Settings.Region, CommandLevel: statemachine.Level}
	if s.state != nil {
		response.ClusterID, response.Members, response.Applied = s.state.ClusterID, s.state.Members, s.appliedIndex
	}
	return response, nil
}

// onGenesis installs the founding state, if this empty replica is one of the
// founders.
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

// checkFounders refuses a list of founding members that does not name the
// receiver, names a replica or an address twice, or has an even number of
// members: the additional member does not raise the fault tolerance, and every
// decision would need one more response. Two members are accepted, since one
// alone would hold the only copy.
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

// founders returns the members that found a cluster. Of an even number above
// two, the one with the last address is left out, but never the founder
// itself. It becomes a learner, and joins when a member is needed.
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

// installFounding stores the founding state as the snapshot of index 0.
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

// installSnapshot replaces all that this replica holds by a snapshot, unless
// that is of a newer format, of a newer program's state or of another cluster;
// applyLock is held.
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
	// A joining replica does not vote until it is a member.
	s.updateRole()
	return nil
}

// foundCluster founds a cluster if all seeds are reachable and empty. The seed
// with the least address among those that may found does so, whatever the
// order in each one's settings, so that a cluster is never founded twice. The
// others receive the founding state from it or, later, from each other.
func (s *Store) foundCluster(ctx context.Context, responses []probeResponse, addresses []string) {
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
