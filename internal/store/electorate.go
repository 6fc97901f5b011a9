package store

import (
	"context"

	"puffincrank/internal/ballot"
	"puffincrank/internal/transport"
)

// memberAddresses lists where the members are, and how many of them decide.
func (s *Store) memberAddresses() (out []string, need int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.state.Members {
		out = append(out, m.Addr)
	}
	return out, len(out)/2 + 1
}

// memberSet names the stores that vote, as this one has it.
func (s *Store) memberSet() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberNames()
}

// memberNames is the same; mu is held.
func (s *Store) memberNames() string {
	all := ""
	for _, m := range s.state.Members {
		all += m.ID + "@" + m.Addr + " "
	}
	return all
}

// askVotes asks every member for its vote, this one among them; no counts those that
// refused theirs.
func (s *Store) askVotes(ctx context.Context, num ballot.Number, real bool) (yes []voteResponse, from []string, no int, ok bool) {
	ctx, end := context.WithTimeout(ctx, s.Settings.Lease()/2)
	defer end()
	who, need := s.memberAddresses()
	s.mu.Lock()
	ask := voteRequest{Num: num, ID: s.acc.Identity().ID, Real: real, Slot: s.slot, Mesh: s.state.ClusterID, Addr: s.Settings.InternalAddr}
	s.mu.Unlock()
	out, best, newest := 0, "", ask.Slot
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (voteResponse, error) {
		if to == s.Settings.InternalAddr {
			return s.onBallot(ctx, transport.Hello{}, ask)
		}
		return transport.Call[voteResponse](ctx, s.n, to, "store.ballot", ask)
	}, func(to string, v voteResponse, err error) bool {
		if err != nil {
			return false
		}
		s.mu.Lock()
		s.highestRound = max(s.highestRound, v.Seen.Round)
		member := s.isMember(v.ID)
		s.mu.Unlock()
		if v.Out {
			out++
		}
		if v.Slot > newest {
			best, newest = to, v.Slot
		}
		// A vote counts only under an identity that is a member's.
		if v.Yes && member {
			yes, from = append(yes, v), append(from, to)
		} else if member {
			no++
		}
		return len(yes) >= need
	})
	ok = len(yes) >= need
	switch {
	case out >= need:
		_ = s.becomeLearner()
	case !ok && !real && best != "":
		s.catchUpWithoutLeader(best)
	}
	return yes, from, no, ok
}

// catchUpWithoutLeader takes what a peer has applied beyond this store while
// nobody can be elected: a change of the members among it may name those who can,
// and an own entry that was damaged is mended by it.
func (s *Store) catchUpWithoutLeader(from string) {
	ctx, end := context.WithTimeout(s.g.Context(), s.Settings.ConfigBound)
	defer end()
	if s.refill(ctx, from) != nil {
		return
	}
	s.mu.Lock()
	lost := !s.isMember(s.acc.Identity().ID)
	s.mu.Unlock()
	if lost {
		_ = s.becomeLearner()
	}
}
