package store

import (
	"context"
	"slices"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

// joinStep is one attempt of a store that is not a member: to found a cluster,
// to be refilled, or to report to the leader as a learner. It returns the time
// until the next attempt.
func (s *Store) joinStep(ctx context.Context) time.Duration {
	s.mu.Lock()
	leader, isEmpty, stopping := s.leaderAddress, s.state == nil, s.stopping
	s.mu.Unlock()
	if stopping {
		return s.Settings.HeartbeatInterval()
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout()*2)
	defer cancel()
	if isEmpty || leader == "" || !s.reportToLeader(ctx, leader) {
		s.discover(ctx)
	}
	switch {
	case s.canVote():
		return 0
	case time.Since(s.startedAt) < s.Settings.RecoveryBound:
		// Within RecoveryBound of the start, retry sooner until the cluster is
		// found.
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.state == nil || s.leaderAddress == "" {
			return s.Settings.HeartbeatInterval() / 4
		}
	}
	return s.Settings.HeartbeatInterval()
}

// discover asks the seeds, and the members as last known, for one that holds
// the cluster's state.
func (s *Store) discover(ctx context.Context) {
	addresses := append([]string(nil), s.Settings.Seeds...)
	known := map[string]bool{}
	for _, a := range addresses {
		known[a] = true
	}
	s.mu.Lock()
	isEmpty := s.state == nil
	if !isEmpty {
		for _, m := range s.state.Members {
			if !known[m.Addr] {
				addresses = append(addresses, m.Addr)
			}
		}
	} else if s.leaderAddress != "" && !known[s.leaderAddress] {
		// This empty store had a heartbeat from a leader that takes it for the
		// member that it was.
		addresses = append(addresses, s.leaderAddress)
	}
	if s.candidate != "" && !slices.Contains(addresses, s.candidate) {
		addresses = append(addresses, s.candidate)
	}
	s.mu.Unlock()
	empty, emptyAddresses, best := s.probeStores(ctx, addresses)
	if best.addr != "" {
		s.joinVia(ctx, best)
	} else if isEmpty && len(empty) == len(s.Settings.Seeds) && len(addresses) == len(s.Settings.Seeds) {
		// Only the seeds may found a cluster, and only if all of them are
		// empty: a store that was in a cluster holds its state.
		s.foundCluster(ctx, empty, emptyAddresses)
	}
}

// source is a store that holds the cluster's state, with its response.
type source struct {
	probeResponse
	addr string
}

// probeStores asks stores what they hold. It returns the empty ones and the
// one to refill from: a store that names a leader or, if none does, the one
// that has applied most, since only that one may know of a membership that
// this store was given right before the leader was lost. It leaves half of the
// time for the refill, since a store that is cut off never answers.
func (s *Store) probeStores(ctx context.Context, addresses []string) (empty []probeResponse, emptyAddresses []string, best source) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer cancel()
	s.mu.Lock()
	hintFailed := s.leaderHintFailed
	s.mu.Unlock()
	ballot.Poll(ctx, s.tasks, addresses, func(ctx context.Context, to string) (probeResponse, error) {
		if to == s.Settings.InternalAddr {
			return probeResponse{Empty: true, ID: s.acceptor.Identity().ID, MayNotFound: !s.Settings.MayFound, Zone: s.Settings.Zone, Region: s.Settings.Region, CommandLevel: statemachine.Level}, nil
		}
		return transport.Call[probeResponse](ctx, s.node, to, "store.found", probeRequest{s.acceptor.Identity().ID, s.Settings.InternalAddr})
	}, func(to string, response probeResponse, err error) bool {
		switch {
		case err != nil:
		case response.Empty:
			empty, emptyAddresses = append(empty, response), append(emptyAddresses, to)
		case best.addr == "" || !hintFailed && best.LeaderAddr == "" && response.LeaderAddr != "" || (hintFailed || best.LeaderAddr == "") && response.Applied > best.Applied:
			best = source{response, to}
		}
		// A store that knows the leader is enough: another may be dead and
		// never answer.
		return best.LeaderAddr != "" && !hintFailed
	})
	return empty, emptyAddresses, best
}

// joinVia refills this replica from a peer and reports to the leader that the
// peer names. A peer whose leader does not answer may be behind itself: it is
// not preferred the next time.
func (s *Store) joinVia(ctx context.Context, from source) {
	s.mu.Lock()
	wasEmpty := s.state == nil
	s.mu.Unlock()
	err := s.refill(ctx, from.addr)
	if wasEmpty {
		s.env.Log.Emit(event.Joining, "by", from.addr, "ok", err == nil)
	}
	if err == nil && !s.canVote() && from.LeaderAddr != "" {
		answers := s.reportToLeader(ctx, from.LeaderAddr)
		s.mu.Lock()
		s.leaderHintFailed = !answers
		s.mu.Unlock()
	}
}

// refill fetches what a peer has applied, and takes up the membership, if any,
// that this shows.
func (s *Store) refill(ctx context.Context, from string) error {
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	if err := s.fetchMissing(ctx, from, 0); err != nil {
		return err
	}
	s.updateRole()
	return nil
}

// reportToLeader reports this learner to the leader and catches up from it;
// false means that no leader answers at the address.
func (s *Store) reportToLeader(ctx context.Context, leader string) bool {
	for range 3 {
		s.mu.Lock()
		request := joinRequest{ID: s.acceptor.Identity().ID, Addr: s.Settings.InternalAddr, ClusterID: s.state.ClusterID, Applied: s.appliedIndex, Zone: s.Settings.Zone, Region: s.Settings.Region, CommandLevel: statemachine.Level}
		s.mu.Unlock()
		response, err := transport.Call[joinResponse](ctx, s.node, leader, "store.join", request)
		if err == nil && response.LeaderApplied == 0 && response.Applied > request.Applied && s.refill(ctx, leader) == nil && s.canVote() {
			// It is not the leader, but knows that this store was made a
			// member.
			return true
		}
		if err != nil || response.LeaderAddr == leader || response.LeaderAddr == "" && response.LeaderApplied == 0 {
			s.noteLeader("")
			return false
		}
		if response.LeaderAddr != "" {
			leader = response.LeaderAddr
			continue
		}
		s.mu.Lock()
		s.leaderAddress, s.leaderAnsweredAt = leader, time.Now()
		s.mu.Unlock()
		if response.LeaderApplied <= request.Applied && !response.IsMember {
			return true
		}
		// After the refill report again: the leader may make this store a
		// member at once.
		if s.refill(ctx, leader) != nil || s.canVote() {
			return true
		}
	}
	return true
}

// becomeLearner takes a new identity after this replica has lost its
// membership: what it promised and accepted as a member must not be used
// again. The applied state is kept, on disk too, so that this copy still
// exists if the others lose theirs now, and only missing entries need to be
// fetched.
func (s *Store) becomeLearner() error {
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	s.mu.Lock()
	chosen, clusterID := s.appliedIndex, s.state.ClusterID
	s.mu.Unlock()
	former, identity := s.acceptor.Identity().ID, paxos.Identity{ID: randomID(), ClusterID: clusterID}
	if err := s.writeDurably(func() error { return s.acceptor.ReplaceIdentity(identity, chosen) }); err != nil {
		return err
	}
	s.env.Trace.Notify(trace.Renamed{Replica: identity.ID, Former: former})
	s.voter.Reset()
	s.mu.Lock()
	s.leaderAddress = ""
	s.diskFailing, s.noCampaignUntil = false, time.Time{}
	s.mu.Unlock()
	s.role.Fire("outcast")
	s.updateRole()
	s.wakeLoop(false)
	return nil
}
