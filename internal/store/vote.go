package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

func (s *Store) registerHandlers() {
	transport.Handle(s.node, "store.found", s.onProbe)
	transport.Handle(s.node, "store.genesis", s.onGenesis)
	transport.Handle(s.node, "store.join", s.onJoin)
	transport.Handle(s.node, "store.ballot", s.onVoteRequest)
	transport.Handle(s.node, "store.accept", s.onAccept)
	transport.Handle(s.node, "store.leave", s.onLeave)
	transport.Handle(s.node, "store.beat", s.onHeartbeat)
	transport.Handle(s.node, "store.vacate", s.onVacate)
	transport.Handle(s.node, "store.fetch", s.onFetch)
	transport.Handle(s.node, "store.snapshot", s.onChunk)
	transport.Handle(s.node, "store.offer", s.onPropose)
	transport.Handle(s.node, "store.read", s.onRead)
	transport.Handle(s.node, "store.watch", s.onWatch)
	transport.Handle(s.node, "store.puts", s.onPuts)
	transport.Handle(s.node, "store.left", s.onRemainingLeases)
	transport.Handle(s.node, "store.duty", s.onRoleBallot)
	transport.Handle(s.node, "store.status", s.onStatus)
	transport.Handle(s.node, "store.remove", s.onRemove)
}

// isForeign reports whether a message is of a cluster that was founded
// separately, under the same configured name: it is ignored. mu is held.
func (s *Store) isForeign(clusterID string, from string) bool {
	if clusterID == "" || s.state == nil || clusterID == s.state.ClusterID {
		return false
	}
	if time.Since(s.foreignWarnedAt) > s.Settings.RecoveryBound {
		s.foreignWarnedAt = time.Now()
		s.env.Log.Emit(event.ForeignData, "mesh", clusterID, "own", s.state.ClusterID, "from", from)
	}
	return true
}

// isRepairing reports whether a damaged entry has not been repaired yet: until
// then this replica may have lost what it accepted, and must not vote.
func (s *Store) isRepairing() bool { return s.acceptor.DamagedUpTo() > s.appliedIndex }

func (s *Store) onVoteRequest(_ context.Context, _ transport.Hello, request voteRequest) (voteResponse, error) {
	s.mu.Lock()
	vote := voteResponse{ID: s.acceptor.Identity().ID, Applied: s.appliedIndex}
	able := s.canVote() && !s.isRepairing() && !s.diskStalled() && !s.isForeign(request.ClusterID, request.ID)
	// A candidate that has applied more may be a member by one of those
	// entries.
	vote.NotMember = able && !s.isMember(request.ID) && s.appliedIndex >= request.Applied
	if !s.canVote() && request.Addr != "" && request.Applied > s.appliedIndex && !s.isForeign(request.ClusterID, request.ID) {
		// The candidate takes this store for a member, which this store does
		// not know yet.
		s.candidate = request.Addr
	}
	s.mu.Unlock()
	current, silence := s.voter.Promised()
	vote.Promised = current
	if !able || vote.NotMember {
		return vote, nil
	}
	if !request.Binding {
		// A pre-vote: a node that was cut off learns that the leadership is
		// not vacant, without raising a ballot number.
		vote.Granted = request.ID == current.Candidate || silence >= s.Settings.LeaderTimeout()
		return vote, nil
	}
	granted, promised, err := s.voter.Vote(request.Ballot)
	if err != nil {
		return vote, nil
	}
	vote.Granted, vote.Promised = granted, promised
	if granted {
		s.env.Log.Emit(event.Promised, "ballot", request.Ballot.String())
		if request.ID != s.acceptor.Identity().ID {
			s.stepDown("another was promised a higher ballot")
		}
		vote.Entries, vote.Truncated = s.acceptedAfter(max(vote.Applied, request.Applied))
	}
	// A vote under an identity that was given up meanwhile may lack what was
	// accepted under it.
	vote.Granted = vote.Granted && s.acceptor.Identity().ID == vote.ID
	return vote, nil
}

func (s *Store) onAccept(ctx context.Context, _ transport.Hello, request acceptRequest) (ack, error) {
	s.mu.Lock()
	reply := ack{ID: s.acceptor.Identity().ID, Applied: s.appliedIndex, DiskFailing: s.diskFailing || s.diskStalled(), CommandLevel: statemachine.Level, Leaving: s.leaving}
	// While a write is stalled, another would only queue up behind it.
	able := s.canVote() && !s.leaving && request.Entry.Index > s.appliedIndex && !s.diskStalled() && !s.isForeign(request.ClusterID, request.Addr)
	s.mu.Unlock()
	if !able {
		return reply, nil
	}
	promised, _ := s.voter.Promised()
	if request.Entry.Ballot.Less(promised) {
		reply.Promised = promised
		return reply, nil
	}
	if err := s.writeDurably(func() error { return s.acceptor.Accept(request.Entry) }); err != nil {
		reply.Promised, _ = s.voter.Promised()
		return reply, nil
	}
	s.voter.RaisePromise(request.Entry.Ballot)
	if request.Entry.Ballot.Candidate != s.acceptor.Identity().ID {
		s.noteLeader(request.Addr)
	}
	reply.OK = s.acceptor.Identity().ID == reply.ID
	s.learnAsync(request.ChosenIndex, request.ChosenDigest, request.Addr)
	return reply, nil
}

// The bounds on the accepted entries in one vote, in number and as
// 1/voteFrameDivisor of a frame's bytes. More than one entry is rare: an entry
// is proposed only when the one before it is chosen, so a voter holds many
// only if it has applied none of them for a while.
const (
	maxVoteEntries   = 256
	voteFrameDivisor = 4
)

// acceptedAfter returns the entries accepted after an index, as many as fit
// one vote; truncated reports that there are more. What both sides have
// applied is left out.
func (s *Store) acceptedAfter(index uint64) (entries []paxos.Entry, truncated bool) {
	size := 0
	for _, e := range s.acceptor.EntriesAfter(index, maxVoteEntries+1) {
		size += len(e.Batch)
		if len(entries) == maxVoteEntries || len(entries) > 0 && size > s.Settings.MaxFrameBytes/voteFrameDivisor {
			return entries, true
		}
		entries = append(entries, e)
	}
	return entries, false
}

// noteLeader records the leader's address.
func (s *Store) noteLeader(addr string) {
	s.mu.Lock()
	s.leaderAddress = addr
	s.mu.Unlock()
}

// noteLeaderIfEmpty records a leader that takes this empty store, whose disk
// was lost, for the member that it was: the seeds may all be empty as well.
func (s *Store) noteLeaderIfEmpty(addr string) {
	s.mu.Lock()
	if s.state == nil {
		s.leaderAddress = addr
	}
	s.mu.Unlock()
}

func (s *Store) onHeartbeat(_ context.Context, _ transport.Hello, request heartbeatRequest) (ack, error) {
	s.mu.Lock()
	reply := ack{ID: s.acceptor.Identity().ID, Applied: s.appliedIndex, DiskFailing: s.diskFailing || s.diskStalled(), CommandLevel: statemachine.Level, Leaving: s.leaving}
	able := s.canVote() && !s.isForeign(request.ClusterID, request.Addr)
	s.mu.Unlock()
	if !able {
		s.noteLeaderIfEmpty(request.Addr)
		return reply, nil
	}
	granted, promised, err := s.voter.Heartbeat(request.Ballot)
	if err != nil {
		return reply, nil
	}
	reply.OK, reply.Promised = granted, promised
	if granted {
		if request.Ballot.Candidate != s.acceptor.Identity().ID {
			s.stepDown("another writes")
			s.noteLeader(request.Addr)
		}
		s.learnAsync(request.ChosenIndex, request.ChosenDigest, request.Addr)
	}
	return reply, nil
}

func (s *Store) onVacate(_ context.Context, _ transport.Hello, request vacateRequest) (ack, error) {
	s.voter.Vacate(request.Ballot)
	if s.canVote() {
		notBefore := time.Now().Add(s.campaignDelay(request.Ballot))
		s.mu.Lock()
		s.campaignNotBefore = notBefore
		s.mu.Unlock()
		s.wakeLoop(false)
	}
	return ack{OK: true}, nil
}
