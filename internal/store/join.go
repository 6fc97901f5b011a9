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
	head, bare, shut := s.leaderAddress, s.state == nil, s.stopping
	s.mu.Unlock()
	if shut {
		return s.Settings.HeartbeatInterval()
	}
	ctx, end := context.WithTimeout(ctx, s.Settings.CallTimeout()*2)
	defer end()
	if bare || head == "" || !s.reportToLeader(ctx, head) {
		s.discover(ctx)
	}
	switch {
	case s.votes():
		return 0
	case time.Since(s.born) < s.Settings.RecoveryBound:
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
	who := append([]string(nil), s.Settings.Seeds...)
	known := map[string]bool{}
	for _, a := range who {
		known[a] = true
	}
	s.mu.Lock()
	bare := s.state == nil
	if !bare {
		for _, m := range s.state.Members {
			if !known[m.Addr] {
				who = append(who, m.Addr)
			}
		}
	} else if s.leaderAddress != "" && !known[s.leaderAddress] {
		// A leader that took this empty store for the member that it was.
		who = append(who, s.leaderAddress)
	}
	if s.candidate != "" && !slices.Contains(who, s.candidate) {
		who = append(who, s.candidate)
	}
	s.mu.Unlock()
	empty, at, best := s.askAround(ctx, who)
	if best.addr != "" {
		s.joinVia(ctx, best)
	} else if bare && len(empty) == len(s.Settings.Seeds) && len(who) == len(s.Settings.Seeds) {
		// Only the seeds themselves found. One that was in a cluster holds its state.
		s.found(ctx, empty, at)
	}
}

// source is a store that holds the cluster's state, and what it said of itself.
type source struct {
	probeResponse
	addr string
}

// askAround asks stores what they hold. It gives those that are empty, and the one
// to be refilled from: one that names a leader or, where none does, the one that
// has applied most, since only that may know of a place that this store was given
// right before the leader was lost. It leaves half of the time for the refill, as
// one that is cut off never answers.
func (s *Store) askAround(ctx context.Context, who []string) (empty []probeResponse, at []string, best source) {
	ctx, end := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer end()
	s.mu.Lock()
	misled := s.misled
	s.mu.Unlock()
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (probeResponse, error) {
		if to == s.Settings.InternalAddr {
			return probeResponse{Empty: true, ID: s.acc.Identity().ID, Never: !s.Settings.MayFound, Area: s.Settings.Zone, Land: s.Settings.Region, Knows: statemachine.Level}, nil
		}
		return transport.Call[probeResponse](ctx, s.n, to, "store.found", probeRequest{s.acc.Identity().ID, s.Settings.InternalAddr})
	}, func(to string, got probeResponse, err error) bool {
		switch {
		case err != nil:
		case got.Empty:
			empty, at = append(empty, got), append(at, to)
		case best.addr == "" || !misled && best.Head == "" && got.Head != "" || (misled || best.Head == "") && got.Slot > best.Slot:
			best = source{got, to}
		}
		// One that knows the leader is enough: another may be dead and never answer.
		return best.Head != "" && !misled
	})
	return empty, at, best
}

// joinVia refills this replica from a peer and tells the leader of it. A peer that
// names a leader where none answers may be behind itself: it is not preferred the
// next time.
func (s *Store) joinVia(ctx context.Context, from source) {
	s.mu.Lock()
	was := s.state == nil
	s.mu.Unlock()
	err := s.refill(ctx, from.addr)
	if was {
		s.e.Log.Emit(event.Joining, "by", from.addr, "ok", err == nil)
	}
	if err == nil && !s.votes() && from.Head != "" {
		answers := s.reportToLeader(ctx, from.Head)
		s.mu.Lock()
		s.misled = !answers
		s.mu.Unlock()
	}
}

// refill fetches what a peer has applied and takes up the place, if any, that
// is known from it.
func (s *Store) refill(ctx context.Context, at string) error {
	s.applying.Lock()
	defer s.applying.Unlock()
	if err := s.fetchMissing(ctx, at, 0); err != nil {
		return err
	}
	s.updateRole()
	return nil
}

// reportToLeader tells the leader that this replica stands by, and learns from it; false
// means that no leader answers there.
func (s *Store) reportToLeader(ctx context.Context, to string) bool {
	for range 3 {
		s.mu.Lock()
		ask := joinRequest{ID: s.acc.Identity().ID, Addr: s.Settings.InternalAddr, Mesh: s.state.ClusterID, Slot: s.slot, Area: s.Settings.Zone, Land: s.Settings.Region, Knows: statemachine.Level}
		s.mu.Unlock()
		got, err := transport.Call[joinResponse](ctx, s.n, to, "store.join", ask)
		if err == nil && got.Slot == 0 && got.Has > ask.Slot && s.refill(ctx, to) == nil && s.votes() {
			// It does not lead, but knows of a place that this one was given.
			return true
		}
		if err != nil || got.Head == to || got.Head == "" && got.Slot == 0 {
			s.noteLeader("")
			return false
		}
		if got.Head != "" {
			to = got.Head
			continue
		}
		s.mu.Lock()
		s.leaderAddress, s.lastJoined = to, time.Now()
		s.mu.Unlock()
		if got.Slot <= ask.Slot && !got.Done {
			return true
		}
		// Whole now: asked again, it may have a place at once.
		if s.refill(ctx, to) != nil || s.votes() {
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
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	chosen, clusterID := s.slot, s.state.ClusterID
	s.mu.Unlock()
	former, now := s.acc.Identity().ID, paxos.Identity{ID: fresh(), ClusterID: clusterID}
	if err := s.writeDurably(func() error { return s.acc.ReplaceIdentity(now, chosen) }); err != nil {
		return err
	}
	s.e.Trace.Notify(trace.Renamed{Replica: now.ID, Former: former})
	s.voter.Reset()
	s.mu.Lock()
	s.leaderAddress = ""
	s.diskIll, s.restsUntil = false, time.Time{}
	s.mu.Unlock()
	s.role.Fire("outcast")
	s.updateRole()
	s.wakeLoop(false)
	return nil
}
