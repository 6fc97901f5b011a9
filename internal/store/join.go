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

// joinStep is one try of a store without a vote: to found, to be refilled, or to
// tell the leader that it stands by. It tells when to try again.
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
		// Until the cluster has been found each moment counts.
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.state == nil || s.leaderAddress == "" {
			return s.Settings.HeartbeatInterval() / 4
		}
	}
	return s.Settings.HeartbeatInterval()
}

// discover asks the seeds, and the members as last known, for one that holds the
// cluster's state.
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
		// A leader that took this empty store for the member that it was.
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
		// Only the seeds themselves found. One that was in a cluster holds its state.
		s.foundCluster(ctx, empty, emptyAddresses)
	}
}

// source is a store that holds the cluster's state, and what it said of itself.
type source struct {
	foundGot
	addr string
}

// probeStores asks stores what they hold. It gives those that are empty, and the one
// to be refilled from: one that names a leader or, where none does, the one that
// has applied most, since only that may know of a place that this store was given
// right before the leader was lost. It leaves half of the time for the refill, as
// one that is cut off never answers.
func (s *Store) probeStores(ctx context.Context, addresses []string) (empty []foundGot, emptyAddresses []string, best source) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer cancel()
	s.mu.Lock()
	hintFailed := s.leaderHintFailed
	s.mu.Unlock()
	ballot.Poll(ctx, s.tasks, addresses, func(ctx context.Context, to string) (foundGot, error) {
		if to == s.Settings.InternalAddr {
			return foundGot{Empty: true, ID: s.acceptor.Identity().ID, MayNotFound: !s.Settings.MayFound, Zone: s.Settings.Zone, Region: s.Settings.Region, CommandLevel: statemachine.Level}, nil
		}
		return transport.Call[foundGot](ctx, s.node, to, "store.found", foundAsk{s.acceptor.Identity().ID, s.Settings.InternalAddr})
	}, func(to string, response foundGot, err error) bool {
		switch {
		case err != nil:
		case response.Empty:
			empty, emptyAddresses = append(empty, response), append(emptyAddresses, to)
		case best.addr == "" || !hintFailed && best.LeaderAddr == "" && response.LeaderAddr != "" || (hintFailed || best.LeaderAddr == "") && response.Applied > best.Applied:
			best = source{response, to}
		}
		// One that knows the leader is enough: another may be dead and never answer.
		return best.LeaderAddr != "" && !hintFailed
	})
	return empty, emptyAddresses, best
}

// joinVia refills this replica from a peer and tells the leader of it. A peer that
// names a leader where none answers may be behind itself: it is not preferred the
// next time.
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

// refill fetches what a peer has applied and takes up the place, if any, that
// is known from it.
func (s *Store) refill(ctx context.Context, from string) error {
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	if err := s.fetchMissing(ctx, from, 0); err != nil {
		return err
	}
	s.updateRole()
	return nil
}

// reportToLeader tells the leader that this replica stands by, and learns from it; false
// means that no leader answers there.
func (s *Store) reportToLeader(ctx context.Context, leader string) bool {
	for range 3 {
		s.mu.Lock()
		request := joinAsk{ID: s.acceptor.Identity().ID, Addr: s.Settings.InternalAddr, ClusterID: s.state.ClusterID, Applied: s.appliedIndex, Zone: s.Settings.Zone, Region: s.Settings.Region, CommandLevel: statemachine.Level}
		s.mu.Unlock()
		response, err := transport.Call[joinGot](ctx, s.node, leader, "store.join", request)
		if err == nil && response.LeaderApplied == 0 && response.Applied > request.Applied && s.refill(ctx, leader) == nil && s.canVote() {
			// It does not lead, but knows of a place that this one was given.
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
		// Whole now: asked again, it may have a place at once.
		if s.refill(ctx, leader) != nil || s.canVote() {
			return true
		}
	}
	return true
}

// becomeLearner takes up a new identity when this replica has lost its place: what it
// promised and accepted as a member must not come back. What it has applied is
// kept, on the disk too, so that its copy is still there should the others lose
// theirs right now, and so that it only fetches what it lacks.
func (s *Store) becomeLearner() error {
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	s.mu.Lock()
	chosen, clusterID := s.appliedIndex, s.state.ClusterID
	s.mu.Unlock()
	former, identity := s.acceptor.Identity().ID, paxos.Identity{ID: randomID(), ClusterID: clusterID}
	if err := s.writeDurably(func() error { return s.acceptor.Rename(identity, chosen) }); err != nil {
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
