package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/ledger"
	"puffincrank/internal/wire"
)

// word is the newest sign of life of a member.
type word struct {
	at    time.Time
	slot  uint64 // what it had applied
	mine  uint64 // the highest version that it may have accepted by then
	ill   bool   // its disk was slow or refused
	knows int    // the level of commands that it understands
}

// sight is what the last term knew of the members.
type sight struct {
	at    time.Time
	heard map[string]word
}

// hears notes an ack and tells whether its sender is a member.
func (t *term) hears(a ack) bool {
	t.s.mu.Lock()
	ok, mine := t.s.isMember(a.ID), t.s.slot+1
	t.s.mu.Unlock()
	if ok {
		t.mu.Lock()
		t.heard[a.ID] = word{time.Now(), max(a.Slot, t.heard[a.ID].slot), mine, a.Ill, a.Knows}
		t.mu.Unlock()
	}
	return ok
}

// before is what a new term takes a member's newest word to be: what our own
// last term knew if it has just ended, the voters' ear for the holder before
// us, and the benefit of the doubt for the rest. s.learn is held.
func (s *Store) before(id string, now time.Time) word {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, ok := s.sight.heard[id]; ok && now.Sub(s.sight.at) < s.P.Lease() {
		w.mine = max(w.mine, s.slot+1)
		return w
	}
	return word{at: now, mine: s.slot + 1}
}

// misses notes since when the holder of the duty is mute.
func (s *Store) misses(vow ballot.Number, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if vow.Who != s.acc.Me().ID && quiet < s.P.CatchUp {
		s.sight = sight{now, map[string]word{vow.Who: {at: now.Add(-quiet)}}}
	}
}

// yield is a leaving member's word: a whole stand-by gets its place before it
// ends. Without one the place is kept, since a planned stop is mostly a roll.
func (s *Store) yield() {
	s.mu.Lock()
	t, head, me := s.term, s.head, s.acc.Me().ID
	member, num := s.isMember(me), s.num
	s.mu.Unlock()
	if !member {
		return
	}
	ctx, end := context.WithTimeout(context.Background(), s.P.Patience())
	defer end()
	if t == nil && head != "" {
		_, _ = wire.Ask[ack](ctx, s.n, head, "store.leave", leaveAsk{me})
	}
	if t != nil && t.give(ctx, me) {
		// The term is over with the change; the others need not miss it first.
		s.vacate(num)
	}
}

// onLeave hears a member that stops.
func (s *Store) onLeave(ctx context.Context, _ wire.Hello, in leaveAsk) (ack, error) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	return ack{Yes: t != nil && t.give(ctx, in.ID)}, nil
}

// give hands a leaving member's place to the best stand-by, if there is one and
// all the others are in touch. Between two versions the others hold all that the
// one that leaves may have accepted, and after its next word the stand-by is
// whole: both are waited for, as the one that leaves is still there.
func (t *term) give(ctx context.Context, old string) bool {
	t.swaps.Lock()
	defer t.swaps.Unlock()
	for ctx.Err() == nil {
		all, _, slot := t.s.members()
		t.mu.Lock()
		able := t.touch(all, old) == len(all)-1 && t.spared(t.s.P.Replace/2)
		pick := t.best(all, old, t.s.P.Replace/2)
		sure := able && pick != nil && (old == t.s.acc.Me().ID || t.covered(all, old, pick.slot, slot))
		t.mu.Unlock()
		if sure {
			r, err := t.seat(ctx, old, false, pick.m)
			return err == nil && r.Code == ledger.OK
		}
		if !able {
			return false
		}
		t.s.e.Pause(ctx, t.s.P.Beat()/40)
	}
	return false
}

// watch warns of a core that bears less than it should, and forgets stand-bys
// that are gone.
func (t *term) watch(context.Context) {
	s := t.s
	t.mu.Lock()
	for id, sp := range t.spares {
		if time.Since(sp.heard) > s.P.CatchUp {
			delete(t.spares, id)
		}
	}
	t.mu.Unlock()
	all, want, _ := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	weak := s.weak(all)
	if len(all) >= want && len(all)%2 == 1 && weak == 0 {
		s.small = time.Time{}
		return
	}
	// A core that is just growing, or waits for a machine to come back, is no news.
	if s.small.IsZero() {
		s.small = time.Now().Add(s.P.CatchUp)
	}
	if time.Now().After(s.small) {
		s.small = time.Now().Add(s.P.Return)
		s.e.Log.Emit(event.CoreSmall, "voters", len(all), "wanted", want, "crowded", weak)
	}
}
