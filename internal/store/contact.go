package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
)

// peerContact is the newest sign of life of a member.
type peerContact struct {
	at    time.Time
	slot  uint64    // what it had applied
	ill   bool      // its disk was slow or refused
	knows int       // the level of commands that it understands
	going time.Time // when it last said that it ends soon; zero: it stays
}

// formerTerm is what the last term knew of the members.
type formerTerm struct {
	at       time.Time
	contacts map[string]peerContact
}

// recordContact notes an ack and tells whether its sender is a member.
func (t *leadership) recordContact(a ack) bool {
	t.s.mu.Lock()
	ok := t.s.isMember(a.ID)
	t.s.mu.Unlock()
	if ok {
		t.mu.Lock()
		t.contacts[a.ID] = t.newContact(a)
		t.mu.Unlock()
	}
	return ok
}

// newContact is what an ack tells of its sender; t.mu is held.
func (t *leadership) newContact(a ack) peerContact {
	before, now := t.contacts[a.ID], time.Now()
	out := peerContact{at: now, slot: max(a.Slot, before.slot), ill: a.Ill, knows: a.Knows, going: before.going}
	if a.Going {
		out.going = now
	} else if now.Sub(before.going) > t.s.Settings.Lease() {
		// It runs again: an ack from before its word would have come by now.
		out.going = time.Time{}
	}
	return out
}

// noteGoing notes that a member ends soon: what it holds no longer counts.
func (t *leadership) noteGoing(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	contact := t.contacts[id]
	contact.going = time.Now()
	t.contacts[id] = contact
}

// initialContact is what a new term takes a member's newest word to be: what our own
// last term knew if it has just ended, the voters' ear for the holder before
// us, and the benefit of the doubt for the rest. s.learn is held.
func (s *Store) initialContact(id string, now time.Time) peerContact {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, ok := s.formerTerm.contacts[id]; ok && now.Sub(s.formerTerm.at) < s.Settings.Lease() {
		return w
	}
	return peerContact{at: now}
}

// noteSilentLeader notes since when the holder of the leadership is silent.
func (s *Store) noteSilentLeader(vow ballot.Number, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if vow.Candidate != s.acc.Identity().ID && quiet < s.Settings.CatchUpBound {
		s.formerTerm = formerTerm{now, map[string]peerContact{vow.Candidate: {at: now.Add(-quiet)}}}
	}
}

// watch warns of a core that bears less than it should, and forgets learners
// that are gone.
func (t *leadership) watch(context.Context) {
	s := t.s
	t.mu.Lock()
	for id, sp := range t.learners {
		if time.Since(sp.heard) > s.Settings.CatchUpBound {
			delete(t.learners, id)
		}
	}
	t.mu.Unlock()
	all, want, _ := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	weak := s.missingTolerance(all)
	if len(all) >= want && len(all)%2 == 1 && weak == 0 {
		s.smallSince = time.Time{}
		return
	}
	// A core that is just growing, or waits for a machine to come back, is no news.
	if s.smallSince.IsZero() {
		s.smallSince = time.Now().Add(s.Settings.CatchUpBound)
	}
	if time.Now().After(s.smallSince) {
		s.smallSince = time.Now().Add(s.Settings.RecoveryBound)
		s.e.Log.Emit(event.TooFewStores, "voters", len(all), "wanted", want, "crowded", weak)
	}
}
