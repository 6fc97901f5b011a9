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
	vow, quiet := s.voter.Promised()
	// One whose disk is only slow is better than nobody, once all the others
	// had their turn.
	weak := time.Now().Before(s.restsUntil) && (s.lastWriteFailed || quiet < 2*s.Settings.LeaderTimeout())
	rest := s.stopping || weak || s.diskHangs() || s.isMending()
	again, free := s.campaignNow, time.Until(s.campaignFrom)
	s.campaignNow = false
	s.mu.Unlock()
	switch {
	case rest:
		// One that may not stand still asks whether it has lost its place.
		if quiet > s.Settings.Lease() && !again {
			s.askVotes(ctx, ballot.Number{}, false)
		}
		return s.Settings.HeartbeatInterval()
	case again:
	case free > 0:
		return free
	case quiet < s.Settings.LeaderTimeout():
		return s.Settings.LeaderTimeout() - quiet + s.campaignDelay(vow)
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
func (s *Store) campaignDelay(vow ballot.Number) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := 0
	if s.state == nil {
		return 0
	}
	for _, m := range s.state.Members {
		if m.ID == s.acc.Identity().ID {
			break
		}
		if m.ID != vow.Candidate {
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
	vow := s.acc.Promised()
	s.num = ballot.Number{Round: max(s.highestRound, vow.Round) + 1, Candidate: s.acc.Identity().ID}
	s.highestRound = s.num.Round
	num := s.num
	s.mu.Unlock()
	body := s.memberSet()
	began := time.Now()
	votes, from, no, ok := s.askVotes(ctx, num, true)
	if !ok && no > 0 && time.Since(began) < s.Settings.HeartbeatInterval() {
		// Another stood at the same time, and neither has a majority. Those who
		// promised wait for their one as for a holder; this one will write nothing
		// under its number. Without any refusal the voters are only slow, and where a
		// vote was waited for, the vacancy is over sooner than a new one would be.
		s.announceVacancy(num)
	}
	if !ok || !s.prepare(ctx, num, body, votes, from) {
		s.role.Fire("lose")
	}
}

// prepare brings this store up to what its voters know, proposes again what
// they accepted, and begins to write.
func (s *Store) prepare(ctx context.Context, num ballot.Number, body string, votes []voteResponse, from []string) bool {
	s.applying.Lock()
	defer s.applying.Unlock()
	ctx, end := context.WithTimeout(ctx, s.Settings.ConfigBound)
	defer end()
	best := -1
	for i, v := range votes {
		if v.Slot > s.slot && (best < 0 || v.Slot > votes[best].Slot) {
			best = i
		}
	}
	if best >= 0 && s.fetchMissing(ctx, from[best], votes[best].Slot) != nil {
		return false
	}
	t := s.newLeadership(num)
	for _, v := range votes {
		t.recordContact(ack{ID: v.ID, Slot: v.Slot, Knows: t.contacts[v.ID].knows})
	}
	if s.memberSet() != body {
		s.wakeLoop(true)
		return false
	}
	t.tellElected(votes)
	// In each open slot the value under the highest ballot may be chosen.
	for slot := s.slot + 1; ; slot++ {
		// Slots after a change of the members are theirs to decide: the voters of
		// this ballot need not be a majority of them. It is run again at once.
		if s.memberSet() != body {
			s.wakeLoop(true)
			return false
		}
		// Beyond what a cut vote names its voter may hold what is chosen.
		if slot > toldUpTo(votes) {
			s.wakeLoop(true)
			return false
		}
		pick := highest(votes, slot)
		if pick == nil {
			break
		}
		if _, err := t.decide(ctx, pick.Batch); err != nil {
			return false
		}
	}
	// A first entry of our own: what the reads of this term see is then
	// known to be all that was ever acknowledged.
	p, err := statemachine.Pack("noop", &statemachine.Noop{})
	if err != nil {
		return false
	}
	raw, err := statemachine.Batch{p}.Pack()
	if err != nil {
		return false
	}
	if _, err := t.decide(ctx, raw); err != nil {
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
	s.leadership, s.leaderAddress = t, s.Settings.InternalAddr
	s.mu.Unlock()
	s.e.Log.Emit(event.RoleWon, "duty", "writer", "ballot", num.String(), "slot", s.slot)
	t.run()
	s.wakeLoop(false)
	return true
}
