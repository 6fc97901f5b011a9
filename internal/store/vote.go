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
	transport.Handle(s.n, "store.found", s.onFound)
	transport.Handle(s.n, "store.genesis", s.onGenesis)
	transport.Handle(s.n, "store.join", s.onJoin)
	transport.Handle(s.n, "store.ballot", s.onBallot)
	transport.Handle(s.n, "store.accept", s.onAccept)
	transport.Handle(s.n, "store.leave", s.onLeave)
	transport.Handle(s.n, "store.beat", s.onBeat)
	transport.Handle(s.n, "store.vacate", s.onVacate)
	transport.Handle(s.n, "store.fetch", s.onFetch)
	transport.Handle(s.n, "store.snapshot", s.onChunk)
	transport.Handle(s.n, "store.offer", s.onOffer)
	transport.Handle(s.n, "store.read", s.onRead)
	transport.Handle(s.n, "store.watch", s.onWatch)
	transport.Handle(s.n, "store.puts", s.onPuts)
	transport.Handle(s.n, "store.left", s.onLeft)
	transport.Handle(s.n, "store.duty", s.onDuty)
	transport.Handle(s.n, "store.status", s.onStatus)
	transport.Handle(s.n, "store.remove", s.onRemove)
}

// isForeign tells that a message is of a cluster that was founded apart from ours,
// though it has our cluster's name: nothing of it is heeded. mu is held.
func (s *Store) isForeign(mesh string, who string) bool {
	if mesh == "" || s.state == nil || mesh == s.state.ClusterID {
		return false
	}
	if time.Since(s.foreignWarned) > s.Settings.RecoveryBound {
		s.foreignWarned = time.Now()
		s.e.Log.Emit(event.ForeignData, "mesh", mesh, "own", s.state.ClusterID, "from", who)
	}
	return true
}

// isMending tells that a damaged entry has not been mended: until then this
// replica may have forgotten what it accepted, and must not vote.
func (s *Store) isMending() bool { return s.acc.DamagedUpTo() > s.slot }

func (s *Store) onBallot(_ context.Context, _ transport.Hello, in voteRequest) (voteResponse, error) {
	s.mu.Lock()
	v := voteResponse{ID: s.acc.Identity().ID, Slot: s.slot}
	able := s.votes() && !s.isMending() && !s.diskHangs() && !s.isForeign(in.Mesh, in.ID)
	// One that knows of more entries may be a member by one of them.
	v.Out = able && !s.isMember(in.ID) && s.slot >= in.Slot
	if !s.votes() && in.Addr != "" && in.Slot > s.slot && !s.isForeign(in.Mesh, in.ID) {
		// It asks for a vote that this store does not know it has.
		s.candidate = in.Addr
	}
	s.mu.Unlock()
	vow, quiet := s.voter.Promised()
	v.Seen = vow
	if !able || v.Out {
		return v, nil
	}
	if !in.Real {
		// Asked before a round: a node that was cut off learns here that the
		// duty is not vacant, without raising any number.
		v.Yes = in.ID == vow.Candidate || quiet >= s.Settings.LeaderTimeout()
		return v, nil
	}
	yes, seen, err := s.voter.Vote(in.Num)
	if err != nil {
		return v, nil
	}
	v.Yes, v.Seen = yes, seen
	if yes {
		s.e.Log.Emit(event.Promised, "ballot", in.Num.String())
		if in.ID != s.acc.Identity().ID {
			s.stepDown("another was promised a higher ballot")
		}
		v.Entries, v.More = s.acceptedAfter(max(v.Slot, in.Slot))
	}
	// A vote under an identity that was given up meanwhile may lack what was
	// accepted under it.
	v.Yes = v.Yes && s.acc.Identity().ID == v.ID
	return v, nil
}

func (s *Store) onAccept(ctx context.Context, _ transport.Hello, in acceptRequest) (ack, error) {
	s.mu.Lock()
	a := ack{ID: s.acc.Identity().ID, Slot: s.slot, Ill: s.diskIll || s.diskHangs(), Knows: statemachine.Level, Going: s.leaving}
	// While a write hangs, the next would only queue up behind it.
	able := s.votes() && !s.leaving && in.Entry.Index > s.slot && !s.diskHangs() && !s.isForeign(in.Mesh, in.Addr)
	s.mu.Unlock()
	if !able {
		return a, nil
	}
	vow, _ := s.voter.Promised()
	if in.Entry.Ballot.Less(vow) {
		a.Seen = vow
		return a, nil
	}
	if err := s.writeDurably(func() error { return s.acc.Accept(in.Entry) }); err != nil {
		a.Seen, _ = s.voter.Promised()
		return a, nil
	}
	s.voter.RaisePromise(in.Entry.Ballot)
	if in.Entry.Ballot.Candidate != s.acc.Identity().ID {
		s.noteLeader(in.Addr)
	}
	a.Yes = s.acc.Identity().ID == a.ID
	s.learnSoon(in.Slot, in.Sum, in.Addr)
	return a, nil
}

// The bounds on the accepted entries that go with one vote, in count and as a
// part of a frame. More than one is rare: an entry is proposed only when the one
// before it is chosen, so a voter holds many only when it has applied none of
// them for a while.
const (
	voteEntries   = 256
	voteFrameRate = 4
)

// acceptedAfter gives what was accepted after a slot, as far as it fits a vote;
// more tells that there is some beyond. What both sides have applied is left out.
func (s *Store) acceptedAfter(slot uint64) (out []paxos.Entry, more bool) {
	size := 0
	for _, e := range s.acc.EntriesAfter(slot, voteEntries+1) {
		size += len(e.Batch)
		if len(out) == voteEntries || len(out) > 0 && size > s.Settings.MaxFrameBytes/voteFrameRate {
			return out, true
		}
		out = append(out, e)
	}
	return out, false
}

// noteLeader notes who writes.
func (s *Store) noteLeader(addr string) {
	s.mu.Lock()
	s.leaderAddress = addr
	s.mu.Unlock()
}

// noteLeaderIfEmpty notes a leader that takes this empty store, whose disk was lost, for the
// member that it was: the seeds may all be as empty.
func (s *Store) noteLeaderIfEmpty(addr string) {
	s.mu.Lock()
	if s.state == nil {
		s.leaderAddress = addr
	}
	s.mu.Unlock()
}

func (s *Store) onBeat(_ context.Context, _ transport.Hello, in heartbeatRequest) (ack, error) {
	s.mu.Lock()
	a := ack{ID: s.acc.Identity().ID, Slot: s.slot, Ill: s.diskIll || s.diskHangs(), Knows: statemachine.Level, Going: s.leaving}
	able := s.votes() && !s.isForeign(in.Mesh, in.Addr)
	s.mu.Unlock()
	if !able {
		s.noteLeaderIfEmpty(in.Addr)
		return a, nil
	}
	yes, seen, err := s.voter.Heartbeat(in.Num)
	if err != nil {
		return a, nil
	}
	a.Yes, a.Seen = yes, seen
	if yes {
		if in.Num.Candidate != s.acc.Identity().ID {
			s.stepDown("another writes")
			s.noteLeader(in.Addr)
		}
		s.learnSoon(in.Slot, in.Sum, in.Addr)
	}
	return a, nil
}

func (s *Store) onVacate(_ context.Context, _ transport.Hello, in vacateRequest) (ack, error) {
	s.voter.Vacate(in.Num)
	if s.votes() {
		at := time.Now().Add(s.campaignDelay(in.Num))
		s.mu.Lock()
		s.campaignFrom = at
		s.mu.Unlock()
		s.wakeLoop(false)
	}
	return ack{Yes: true}, nil
}
