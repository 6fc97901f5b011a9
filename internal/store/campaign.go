package store

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/statemachine"
)

// followStep watches for a vacant duty and stands for it; it tells when to look
// again.
func (s *Store) followStep(ctx context.Context) time.Duration {
	s.mu.Lock()
	promised, silence := s.voter.Promised()
	// One whose disk is only slow is better than nobody, once all the others
	// had their turn.
	backOff := time.Now().Before(s.noCampaignUntil) && (s.lastWriteFailed || silence < 2*s.Settings.LeaderTimeout())
	passive := s.stopping || backOff || s.diskStalled() || s.isRepairing()
	immediate, delay := s.campaignNow, time.Until(s.campaignNotBefore)
	s.campaignNow = false
	s.mu.Unlock()
	switch {
	case passive:
		// One that may not stand still asks whether it has lost its place.
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
	// One that failed leaves the others a moment.
	return s.Settings.HeartbeatInterval()/4 + s.campaignDelay(ballot.Number{})
}

// campaignDelay is how long this store waits once the leadership of a holder is vacant. It
// differs from store to store, by their order, so that two seldom stand at
// once; whoever was voted for meanwhile is heard, and the others stay down.
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
	// The others must have missed the holder as well, so the first waits too.
	step := s.Settings.HeartbeatInterval() / 2
	return time.Duration(rank)*step + step/5 + time.Duration(rand.Int64N(int64(step/5)))
}

// campaign is one try to become the leader.
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
		// Another stood at the same time, and neither has a majority. Those who
		// promised wait for their one as for a holder; this one will write nothing
		// under its number. Without any refusal the voters are only slow, and where a
		// vote was waited for, the vacancy is over sooner than a new one would be.
		s.announceVacancy(number)
	}
	if !ok || !s.prepare(ctx, number, members, votes, from) {
		s.role.Fire("lose")
	}
}

// prepare brings this store up to what its voters know, proposes again what
// they accepted, and begins to write.
func (s *Store) prepare(ctx context.Context, number ballot.Number, members string, votes []ballotVote, from []string) bool {
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
	// In each open slot the value under the highest ballot may be chosen.
	for index := s.appliedIndex + 1; ; index++ {
		// Slots after a change of the members are theirs to decide: the voters of
		// this ballot need not be a majority of them. It is run again at once.
		if s.memberSet() != members {
			s.wakeLoop(true)
			return false
		}
		// Beyond what a cut vote names its voter may hold what is chosen.
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
	// A first entry of our own: what the reads of this term see is then
	// known to be all that was ever acknowledged.
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
