package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
)

// word is the newest sign of life of a member.
type word struct {
	at    time.Time
	slot  uint64 // what it had applied
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
	ok := t.s.isMember(a.ID)
	t.s.mu.Unlock()
	if ok {
		t.mu.Lock()
		t.heard[a.ID] = word{time.Now(), max(a.Slot, t.heard[a.ID].slot), a.Ill, a.Knows}
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
		return w
	}
	return word{at: now}
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
