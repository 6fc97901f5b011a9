package store

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/ledger"
	"puffincrank/internal/paxos"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// follow watches for a vacant duty and stands for it.
func (s *Store) follow(ctx context.Context) {
	s.mu.Lock()
	rest := s.shut || time.Now().Before(s.tired) || s.mending()
	again := s.again
	s.again = false
	s.mu.Unlock()
	if rest {
		return
	}
	if again {
		s.stand(ctx)
		return
	}
	if _, quiet := s.vote.Vow(); quiet < s.P.Lease() {
		return
	}
	// The wait differs from store to store, so that two seldom stand at once;
	// whoever was voted for meanwhile is heard, and this store stays down.
	task.Pause(ctx, time.Duration(rand.Int64N(int64(s.P.Lease()/2))))
	if _, quiet := s.vote.Vow(); quiet >= s.P.Lease() {
		s.stand(ctx)
	}
}

func (s *Store) fellows() (out []string, need int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.led.Members {
		out = append(out, m.Addr)
	}
	return out, len(out)/2 + 1
}

// round asks every member for its vote, this one among them.
func (s *Store) round(ctx context.Context, num ballot.Number, real bool) ([]ballotVote, []string, bool) {
	ctx, end := context.WithTimeout(ctx, s.P.Lease()/2)
	defer end()
	who, need := s.fellows()
	s.mu.Lock()
	ask := ballotAsk{Num: num, ID: s.acc.Me().ID, Real: real, Slot: s.slot, Mesh: s.led.Mesh}
	s.mu.Unlock()
	var yes []ballotVote
	var from []string
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
		}
		return len(yes) >= need
	})
	if out >= need {
		_ = s.outcast()
	}
	return yes, from, len(yes) >= need
}

// stand is one try to become the writer.
func (s *Store) stand(ctx context.Context) {
	if _, _, ok := s.round(ctx, ballot.Number{}, false); !ok || !s.role.Fire("stand") {
		return
	}
	s.mu.Lock()
	vow := s.acc.Vow()
	s.num = ballot.Number{Round: max(s.seen, vow.Round) + 1, Who: s.acc.Me().ID}
	s.seen = s.num.Round
	num := s.num
	s.mu.Unlock()
	votes, from, ok := s.round(ctx, num, true)
	if !ok || !s.prepare(ctx, num, votes, from) {
		s.role.Fire("lose")
	}
}

// prepare brings this store up to what its voters know, proposes again what
// they accepted, and begins to write.
func (s *Store) prepare(ctx context.Context, num ballot.Number, votes []ballotVote, from []string) bool {
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
	// In each open slot the value under the highest ballot may be chosen.
	for slot := s.slot + 1; ; slot++ {
		var pick *paxos.Entry
		for _, v := range votes {
			for i := range v.Entries {
				e := &v.Entries[i]
				if e.Slot == slot && (pick == nil || pick.Num.Less(e.Num)) {
					pick = e
				}
			}
		}
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
	return true
}

// depose ends the term that stands, if any.
func (s *Store) depose(why string) {
	s.mu.Lock()
	t := s.term
	s.term = nil
	if t != nil && s.head == s.P.Inner {
		s.head = ""
	}
	s.mu.Unlock()
	if t == nil {
		return
	}
	t.end()
	s.role.Fire("lose")
	s.e.Log.Emit(event.Lost, "duty", "writer", "why", why)
}

// resign gives the duty up and tells the voters that it is vacant.
func (s *Store) resign(why string) {
	s.mu.Lock()
	t, num := s.term, s.num
	s.mu.Unlock()
	if t == nil {
		return
	}
	// What was offered is decided first, so that no outcome stays unknown for
	// a planned stop; new offers are refused and go to the next writer.
	t.shut.Store(true)
	for from := time.Now(); t.held.Load() > 0 && !t.over() && time.Since(from) < s.P.Lease(); {
		w := time.NewTimer(s.P.Beat() / 20)
		<-w.C
	}
	s.depose(why)
	ctx, end := context.WithTimeout(context.Background(), s.P.Beat())
	defer end()
	who, _ := s.fellows()
	s.vote.Vacate(num)
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (ack, error) {
		if to == s.P.Inner {
			return ack{}, nil
		}
		return wire.Ask[ack](ctx, s.n, to, "store.vacate", vacateAsk{num})
	}, func(string, ack, error) bool { return false })
}
