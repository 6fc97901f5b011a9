package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
)

// peerContact is the newest sign of life of a member.
type peerContact struct {
	at           time.Time
	appliedIndex uint64    // what it had applied
	diskFailing  bool      // its disk was slow or refused
	commandLevel int       // the level of commands that it understands
	leavingAt    time.Time // when it last said that it ends soon; zero: it stays
}

// termRecord is what the last term knew of the members.
type termRecord struct {
	at       time.Time
	contacts map[string]peerContact
}

// recordContact notes an ack and tells whether its sender is a member.
func (t *leadership) recordContact(reply ack) bool {
	t.store.mu.Lock()
	ok := t.store.isMember(reply.ID)
	t.store.mu.Unlock()
	if ok {
		t.mu.Lock()
		t.contacts[reply.ID] = t.newContact(reply)
		t.mu.Unlock()
	}
	return ok
}

// newContact is what an ack tells of its sender; t.mu is held.
func (t *leadership) newContact(reply ack) peerContact {
	before, now := t.contacts[reply.ID], time.Now()
	contact := peerContact{at: now, appliedIndex: max(reply.Applied, before.appliedIndex), diskFailing: reply.DiskFailing, commandLevel: reply.CommandLevel, leavingAt: before.leavingAt}
	if reply.Leaving {
		contact.leavingAt = now
	} else if now.Sub(before.leavingAt) > t.store.Settings.Lease() {
		// It runs again: an ack from before its word would have come by now.
		contact.leavingAt = time.Time{}
	}
	return contact
}

// recordLeaving notes that a member ends soon: what it holds no longer counts.
func (t *leadership) recordLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	contact := t.contacts[id]
	contact.leavingAt = time.Now()
	t.contacts[id] = contact
}

// initialContact is what a new term takes a member's newest word to be: what our own
// last term knew if it has just ended, the voters' ear for the holder before
// us, and the benefit of the doubt for the rest. s.learn is held.
func (s *Store) initialContact(id string, now time.Time) peerContact {
	s.mu.Lock()
	defer s.mu.Unlock()
	if contact, known := s.previousTerm.contacts[id]; known && now.Sub(s.previousTerm.at) < s.Settings.Lease() {
		return contact
	}
	return peerContact{at: now}
}

// noteSilentLeader notes since when the holder of the leadership is silent.
func (s *Store) noteSilentLeader(promised ballot.Number, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if promised.Candidate != s.acceptor.Identity().ID && silence < s.Settings.CatchUpBound {
		s.previousTerm = termRecord{now, map[string]peerContact{promised.Candidate: {at: now.Add(-silence)}}}
	}
}

// watchMembers warns of a core that bears less than it should, and forgets learners
// that are gone.
func (t *leadership) watchMembers(context.Context) {
	store := t.store
	t.mu.Lock()
	for id, l := range t.learners {
		if time.Since(l.lastReport) > store.Settings.CatchUpBound {
			delete(t.learners, id)
		}
	}
	t.mu.Unlock()
	members, wanted, _ := store.members()
	store.mu.Lock()
	defer store.mu.Unlock()
	missing := store.missingTolerance(members)
	if len(members) >= wanted && len(members)%2 == 1 && missing == 0 {
		store.toleranceWarnAt = time.Time{}
		return
	}
	// A core that is just growing, or waits for a machine to come back, is no news.
	if store.toleranceWarnAt.IsZero() {
		store.toleranceWarnAt = time.Now().Add(store.Settings.CatchUpBound)
	}
	if time.Now().After(store.toleranceWarnAt) {
		store.toleranceWarnAt = time.Now().Add(store.Settings.RecoveryBound)
		store.env.Log.Emit(event.TooFewStores, "voters", len(members), "wanted", wanted, "crowded", missing)
	}
}
