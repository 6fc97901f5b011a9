package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
)

// peerContact is what a member's newest response reported of it.
type peerContact struct {
	at           time.Time
	appliedIndex uint64    // the newest index that it had applied
	diskFailing  bool      // its disk was slow or refused writes
	commandLevel int       // the highest level of commands that it understands
	leavingAt    time.Time // when it last announced that it stops; zero: it stays
}

// termRecord is what a former term of this store knew of the members.
type termRecord struct {
	at       time.Time
	contacts map[string]peerContact
}

// recordContact records an ack and reports whether its sender is a member.
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

// newContact returns the contact that follows from an ack; t.mu is held.
func (t *leadership) newContact(reply ack) peerContact {
	before, now := t.contacts[reply.ID], time.Now()
	contact := peerContact{at: now, appliedIndex: max(reply.Applied, before.appliedIndex), diskFailing: reply.DiskFailing, commandLevel: reply.CommandLevel, leavingAt: before.leavingAt}
	if reply.Leaving {
		contact.leavingAt = now
	} else if now.Sub(before.leavingAt) > t.store.Settings.Lease() {
		// It is running again: an ack sent before its announcement would have
		// arrived within the lease.
		contact.leavingAt = time.Time{}
	}
	return contact
}

// recordLeaving records that a member stops soon: what it holds no longer
// counts.
func (t *leadership) recordLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	contact := t.contacts[id]
	contact.leavingAt = time.Now()
	t.contacts[id] = contact
}

// initialContact is a new term's assumption about a member: the record of this
// store's previous term if that ended within a lease, the record of the former
// leader's silence, and for all others that they have just answered. applyLock
// is held.
func (s *Store) initialContact(id string, now time.Time) peerContact {
	s.mu.Lock()
	defer s.mu.Unlock()
	if contact, known := s.previousTerm.contacts[id]; known && now.Sub(s.previousTerm.at) < s.Settings.Lease() {
		return contact
	}
	return peerContact{at: now}
}

// noteSilentLeader records since when the leader has been silent.
func (s *Store) noteSilentLeader(promised ballot.Number, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if promised.Candidate != s.acceptor.Identity().ID && silence < s.Settings.CatchUpBound {
		s.previousTerm = termRecord{now, map[string]peerContact{promised.Candidate: {at: now.Add(-silence)}}}
	}
}

// watchMembers warns when the control plane tolerates fewer losses than
// configured, and forgets learners that are silent.
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
	// No warning while the control plane is still growing, or waits for a
	// machine to come back.
	if store.toleranceWarnAt.IsZero() {
		store.toleranceWarnAt = time.Now().Add(store.Settings.CatchUpBound)
	}
	if time.Now().After(store.toleranceWarnAt) {
		store.toleranceWarnAt = time.Now().Add(store.Settings.RecoveryBound)
		store.env.Log.Emit(event.TooFewStores, "voters", len(members), "wanted", wanted, "crowded", missing)
	}
}
