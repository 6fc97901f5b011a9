package store

import (
	"context"

	"puffincrank/internal/ballot"
	"puffincrank/internal/transport"
)

// memberAddresses lists the addresses of the members, and the size of a
// majority.
func (s *Store) memberAddresses() (addresses []string, majority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.state.Members {
		addresses = append(addresses, m.Addr)
	}
	return addresses, len(addresses)/2 + 1
}

// memberSet identifies the members with their addresses, as this store knows
// them.
func (s *Store) memberSet() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberSetLocked()
}

// memberSetLocked is memberSet with mu held.
func (s *Store) memberSetLocked() string {
	names := ""
	for _, m := range s.state.Members {
		names += m.ID + "@" + m.Addr + " "
	}
	return names
}

// askVotes asks every member, this store included, for its vote. It stops at a
// majority of votes. refused counts the members that refused theirs.
func (s *Store) askVotes(ctx context.Context, number ballot.Number, binding bool) (granted []voteResponse, voters []string, refused int, elected bool) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Lease()/2)
	defer cancel()
	addresses, majority := s.memberAddresses()
	s.mu.Lock()
	request := voteRequest{Ballot: number, ID: s.acceptor.Identity().ID, Binding: binding, Applied: s.appliedIndex, ClusterID: s.state.ClusterID, Addr: s.Settings.InternalAddr}
	s.mu.Unlock()
	notMember, source, newest := 0, "", request.Applied
	ballot.Poll(ctx, s.tasks, addresses, func(ctx context.Context, to string) (voteResponse, error) {
		if to == s.Settings.InternalAddr {
			return s.onVoteRequest(ctx, transport.Hello{}, request)
		}
		return transport.Call[voteResponse](ctx, s.node, to, "store.ballot", request)
	}, func(to string, vote voteResponse, err error) bool {
		if err != nil {
			return false
		}
		s.mu.Lock()
		s.highestRound = max(s.highestRound, vote.Promised.Round)
		member := s.isMember(vote.ID)
		s.mu.Unlock()
		if vote.NotMember {
			notMember++
		}
		if vote.Applied > newest {
			source, newest = to, vote.Applied
		}
		// A vote counts only if its voter has the identity of a member.
		if vote.Granted && member {
			granted, voters = append(granted, vote), append(voters, to)
		} else if member {
			refused++
		}
		return len(granted) >= majority
	})
	elected = len(granted) >= majority
	switch {
	case notMember >= majority:
		_ = s.becomeLearner()
	case !elected && !binding && source != "":
		s.catchUpWithoutLeader(source)
	}
	return granted, voters, refused, elected
}

// catchUpWithoutLeader fetches what a peer has applied beyond this store while
// nobody can be elected: a change of the members among it may name those who
// can, and it repairs a damaged entry of this store.
func (s *Store) catchUpWithoutLeader(from string) {
	ctx, cancel := context.WithTimeout(s.tasks.Context(), s.Settings.ConfigBound)
	defer cancel()
	if s.refill(ctx, from) != nil {
		return
	}
	s.mu.Lock()
	lost := !s.isMember(s.acceptor.Identity().ID)
	s.mu.Unlock()
	if lost {
		_ = s.becomeLearner()
	}
}
