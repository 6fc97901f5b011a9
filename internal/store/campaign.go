package store

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/statemachine"
)

// followStep starts an election when the leader has been silent for too long.
// It returns the time until the next step.
func (s *Store) followStep(ctx context.Context) time.Duration {
	s.mu.Lock()
	promised, silence := s.voter.Promised()
	// A store whose disk is only slow may still lead, once all the others had
	// their chance.
	backOff := time.Now().Before(s.noCampaignUntil) && (s.lastWriteFailed || silence < 2*s.Settings.LeaderTimeout())
	passive := s.stopping || backOff || s.diskStalled() || s.isRepairing()
	immediate, delay := s.campaignNow, time.Until(s.campaignNotBefore)
	s.campaignNow = false
	s.mu.Unlock()
	switch {
	case passive:
		// A member that must not start an election still asks whether it has
		// lost its membership.
		if silence > s.Settings.Lease() && !immediate {
			s.askVotes(ctx, ballot.Number{}, false)
		}
		return s.Settings.HeartbeatInterval()
	case immediate:
	case delay > 0:
		return delay
	case silence < s.Settings.LeaderTimeout():
		return s.Settings.LeaderTimeout() - silence + s.campaignDelay(promised)
	}
	s.campaign(ctx)
	if !s.role.Is("follow") {
		return 0
	}
	// After a failed election the others get a chance first.
	return s.Settings.HeartbeatInterval()/4 + s.campaignDelay(ballot.Number{})
}

// campaignDelay is how long this store waits once the leadership is vacant.
// The delay grows with the store's rank in the member list, so that two stores
// seldom start an election at once; a store that votes for another meanwhile
// does not start its own.
func (s *Store) campaignDelay(promised ballot.Number) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := 0
	if s.state == nil {
		return 0
	}
	for _, m := range s.state.Members {
		if m.ID == s.acceptor.Identity().ID {
			break
		}
		if m.ID != promised.Candidate {
			rank++
		}
	}
	// The others must have noticed the silent leader as well, so the first
	// store waits too.
	step := s.Settings.HeartbeatInterval() / 2
	return time.Duration(rank)*step + step/5 + time.Duration(rand.Int64N(int64(step/5)))
}

// campaign is one attempt to become the leader.
func (s *Store) campaign(ctx context.Context) {
	if _, _, _, ok := s.askVotes(ctx, ballot.Number{}, false); !ok || !s.role.Fire("stand") {
		return
	}
	s.noteSilentLeader(s.voter.Promised())
	s.mu.Lock()
	promised := s.acceptor.Promised()
	s.ballot = ballot.Number{Round: max(s.highestRound, promised.Round) + 1, Candidate: s.acceptor.Identity().ID}
	s.highestRound = s.ballot.Round
	number := s.ballot
	s.mu.Unlock()
	members := s.memberSet()
	started := time.Now()
	votes, from, refused, ok := s.askVotes(ctx, number, true)
	if !ok && refused > 0 && time.Since(started) < s.Settings.HeartbeatInterval() {
		// Another store started an election at the same time, and neither has
		// a majority. Voters that promised this ballot would wait for its
		// candidate as for a leader; it releases them, since it will propose
		// nothing under this number. Without any refusal the voters are only
		// slow, and waiting for their votes ends the vacancy sooner than a new
		// election would.
		s.announceVacancy(number)
	}
	if !ok || !s.prepare(ctx, number, members, votes, from) {
		s.role.Fire("lose")
	}
}

// prepare fetches what the voters have applied beyond this store, proposes
// again what they accepted, and starts the term.
func (s *Store) prepare(ctx context.Context, number ballot.Number, members string, votes []voteResponse, from []string) bool {
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ConfigBound)
	defer cancel()
	best := -1
	for i, v := range votes {
		if v.Applied > s.appliedIndex && (best < 0 || v.Applied > votes[best].Applied) {
			best = i
		}
	}
	if best >= 0 && s.fetchMissing(ctx, from[best], votes[best].Applied) != nil {
		return false
	}
	term := s.newLeadership(number)
	for _, v := range votes {
		term.recordContact(ack{ID: v.ID, Applied: v.Applied, CommandLevel: term.contacts[v.ID].commandLevel})
	}
	if s.memberSet() != members {
		s.wakeLoop(true)
		return false
	}
	term.traceElected(votes)
	// At each open index the value accepted under the highest ballot may be
	// chosen.
	for index := s.appliedIndex + 1; ; index++ {
		// The entries after a change of the members are for the new members to
		// decide: the voters of this ballot need not be a majority of them.
		// The election is run again at once.
		if s.memberSet() != members {
			s.wakeLoop(true)
			return false
		}
		// Beyond the last entry of a truncated vote its voter may hold a
		// chosen one.
		if index > reportedUpTo(votes) {
			s.wakeLoop(true)
			return false
		}
		accepted := highestAccepted(votes, index)
		if accepted == nil {
			break
		}
		if _, err := term.decide(ctx, accepted.Batch); err != nil {
			return false
		}
	}
	// A first entry of this term's own: once it is chosen, reads of this term
	// see everything that was ever acknowledged.
	packed, err := statemachine.Pack("noop", &statemachine.Noop{})
	if err != nil {
		return false
	}
	encoded, err := statemachine.Batch{packed}.Pack()
	if err != nil {
		return false
	}
	if _, err := term.decide(ctx, encoded); err != nil {
		return false
	}
	if !s.role.Fire("win") {
		return false
	}
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		s.role.Fire("lose")
		return true
	}
	s.leadership, s.leaderAddress = term, s.Settings.InternalAddr
	s.mu.Unlock()
	s.env.Log.Emit(event.RoleWon, "duty", "writer", "ballot", number.String(), "slot", s.appliedIndex)
	term.run()
	s.wakeLoop(false)
	return true
}
