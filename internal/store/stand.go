package store

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/ledger"
	"puffincrank/internal/wire"
)

// follow watches for a vacant duty and stands for it; it tells when to look
// again.
func (s *Store) follow(ctx context.Context) time.Duration {
	s.mu.Lock()
	vow, quiet := s.vote.Vow()
	// One whose disk is only slow is better than nobody, once all the others
	// had their turn.
	weak := time.Now().Before(s.tired) && (s.bad || quiet < 2*s.P.Vacant())
	rest := s.shut || weak || s.hung() || s.mending()
	again, free := s.again, time.Until(s.free)
	s.again = false
	s.mu.Unlock()
	switch {
	case rest:
		// One that may not stand still asks whether it has lost its place.
		if quiet > s.P.Lease() && !again {
			s.round(ctx, ballot.Number{}, false)
		}
		return s.P.Beat()
	case again:
	case free > 0:
		return free
	case quiet < s.P.Vacant():
		return s.P.Vacant() - quiet + s.turnOf(vow)
	}
	s.stand(ctx)
	if !s.role.Is("follow") {
		return 0
	}
	// One that failed leaves the others a moment.
	return s.P.Beat()/4 + s.turnOf(ballot.Number{})
}

// turnOf is how long this store waits once the duty of a holder is vacant. It
// differs from store to store, by their order, so that two seldom stand at
// once; whoever was voted for meanwhile is heard, and the others stay down.
func (s *Store) turnOf(vow ballot.Number) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := 0
	if s.led == nil {
		return 0
	}
	for _, m := range s.led.Members {
		if m.ID == s.acc.Me().ID {
			break
		}
		if m.ID != vow.Who {
			rank++
		}
	}
	// The others must have missed the holder as well, so the first waits too.
	step := s.P.Beat() / 2
	return time.Duration(rank)*step + step/5 + time.Duration(rand.Int64N(int64(step/5)))
}

func (s *Store) fellows() (out []string, need int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.led.Members {
		out = append(out, m.Addr)
	}
	return out, len(out)/2 + 1
}

// body names the stores that vote, as this one has it.
func (s *Store) body() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := ""
	for _, m := range s.led.Members {
		all += m.ID + "@" + m.Addr + " "
	}
	return all
}

// round asks every member for its vote, this one among them; no counts those that
// refused theirs.
func (s *Store) round(ctx context.Context, num ballot.Number, real bool) (yes []ballotVote, from []string, no int, ok bool) {
	ctx, end := context.WithTimeout(ctx, s.P.Lease()/2)
	defer end()
	who, need := s.fellows()
	s.mu.Lock()
	ask := ballotAsk{Num: num, ID: s.acc.Me().ID, Real: real, Slot: s.slot, Mesh: s.led.Mesh}
	s.mu.Unlock()
	out := 0
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (ballotVote, error) {
		if to == s.P.Inner {
			return s.onBallot(ctx, wire.Hello{}, ask)
		}
		return wire.Ask[ballotVote](ctx, s.n, to, "store.ballot", ask)
	}, func(to string, v ballotVote, err error) bool {
		if err != nil {
			return false
		}
		s.mu.Lock()
		s.seen = max(s.seen, v.Seen.Round)
		member := s.isMember(v.ID)
		s.mu.Unlock()
		if v.Out {
			out++
		}
		// A vote counts only under an identity that is a member's.
		if v.Yes && member {
			yes, from = append(yes, v), append(from, to)
		} else if member {
			no++
		}
		return len(yes) >= need
	})
	if out >= need {
		_ = s.outcast()
	}
	return yes, from, no, len(yes) >= need
}

// stand is one try to become the writer.
func (s *Store) stand(ctx context.Context) {
	if _, _, _, ok := s.round(ctx, ballot.Number{}, false); !ok || !s.role.Fire("stand") {
		return
	}
	s.misses(s.vote.Vow())
	s.mu.Lock()
	vow := s.acc.Vow()
	s.num = ballot.Number{Round: max(s.seen, vow.Round) + 1, Who: s.acc.Me().ID}
	s.seen = s.num.Round
	num := s.num
	s.mu.Unlock()
	body := s.body()
	began := time.Now()
	votes, from, no, ok := s.round(ctx, num, true)
	if !ok && no > 0 && time.Since(began) < s.P.Beat() {
		// Another stood at the same time, and neither has a majority. Those who
		// promised wait for their one as for a holder; this one will write nothing
		// under its number. Without any refusal the voters are only slow, and where a
		// vote was waited for, the vacancy is over sooner than a new one would be.
		s.vacate(num)
	}
	if !ok || !s.prepare(ctx, num, body, votes, from) {
		s.role.Fire("lose")
	}
}

// prepare brings this store up to what its voters know, proposes again what
// they accepted, and begins to write.
func (s *Store) prepare(ctx context.Context, num ballot.Number, body string, votes []ballotVote, from []string) bool {
	s.learn.Lock()
	defer s.learn.Unlock()
	ctx, end := context.WithTimeout(ctx, s.P.Change)
	defer end()
	best := -1
	for i, v := range votes {
		if v.Slot > s.slot && (best < 0 || v.Slot > votes[best].Slot) {
			best = i
		}
	}
	if best >= 0 && s.catchUp(ctx, from[best], votes[best].Slot) != nil {
		return false
	}
	t := s.newTerm(num)
	for _, v := range votes {
		t.hears(ack{ID: v.ID, Slot: v.Slot, Knows: t.heard[v.ID].knows})
	}
	if s.body() != body {
		s.kick(true)
		return false
	}
	t.tellElected(votes)
	// In each open slot the value under the highest ballot may be chosen.
	for slot := s.slot + 1; ; slot++ {
		// Slots after a change of the members are theirs to decide: the voters of
		// this ballot need not be a majority of them. It is run again at once.
		if s.body() != body {
			s.kick(true)
			return false
		}
		// Beyond what a cut vote names its voter may hold what is chosen.
		if slot > toldUpTo(votes) {
			s.kick(true)
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
	// A first version of our own: what the reads of this term see is then
	// known to be all that was ever acknowledged.
	p, err := ledger.Pack("noop", &ledger.Noop{})
	if err != nil {
		return false
	}
	raw, err := ledger.Batch{p}.Pack()
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
	if s.shut {
		s.mu.Unlock()
		s.role.Fire("lose")
		return true
	}
	s.term, s.head = t, s.P.Inner
	s.mu.Unlock()
	s.e.Log.Emit(event.Won, "duty", "writer", "ballot", num.String(), "slot", s.slot)
	t.run()
	s.kick(false)
	return true
}
