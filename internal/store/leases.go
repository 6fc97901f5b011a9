package store

import (
	"context"
	"time"

	"puffincrank/internal/statemachine"
)

// lease is when a lock's time to live runs out, on this store's own monotonic
// clock. Every store counts from the moment at which it applied the newest
// acquisition or renewal, which is never before the holder sent that. So a new
// leader continues with the remaining time.
type lease struct {
	fence    uint64
	renewals uint64 // number of the newest renewal
	expires  time.Time
}

// withDrift adds the drift allowed between two machines' clocks: 1/1024 of a
// time to live.
func withDrift(ttl time.Duration) time.Duration { return ttl + ttl/1024 }

// revisionMark records the newest revisions at a moment: all revisions up to
// these are older.
type revisionMark struct {
	at       time.Time
	revision uint64
	puts     uint64
}

// restartLeases restarts all leases for a state that came as a snapshot; mu is
// held.
func (s *Store) restartLeases() {
	now := time.Now()
	s.leases = map[string]lease{}
	for name, lock := range s.state.Locks {
		s.leases[name] = lease{lock.Fence, lock.Renewals, now.Add(withDrift(time.Duration(lock.TTL) * time.Millisecond))}
	}
	s.revisionMarks = []revisionMark{{now, s.state.Revision, s.state.TotalPuts()}}
	s.requestMarks = nil
	s.recordRequestCount(now)
}

// recordLeases records what an entry did to locks and revisions; mu is held.
func (s *Store) recordLeases(commands []statemachine.Command, results []statemachine.Result) {
	now := time.Now()
	for i, c := range commands {
		if results[i].Code != statemachine.OK {
			continue
		}
		switch c := c.(type) {
		case *statemachine.AcquireLock:
			expires := now.Add(withDrift(time.Duration(c.TTL) * time.Millisecond))
			// A renewal never shortens the remaining time, see
			// statemachine.AcquireLock.
			if old, ok := s.leases[c.Name]; ok && old.fence == results[i].Lock.Fence && old.expires.After(expires) {
				expires = old.expires
			}
			s.leases[c.Name] = lease{results[i].Lock.Fence, results[i].Lock.Renewals, expires}
		case *statemachine.ReleaseLock:
			delete(s.leases, c.Name)
		case *statemachine.ExpireLock:
			delete(s.leases, c.Name)
		}
	}
	s.recordRevisions(now)
}

// recordRevisions records the newest revisions, at most once per
// Settings.Lease; mu is held.
func (s *Store) recordRevisions(now time.Time) {
	if now.Sub(s.revisionMarks[len(s.revisionMarks)-1].at) >= s.Settings.Lease() {
		s.revisionMarks = append(s.revisionMarks, revisionMark{now, s.state.Revision, s.state.TotalPuts()})
	}
	s.recordRequestCount(now)
}

// expiredLock returns the command that ends an expired lock; nil if it has not
// expired. mu is held.
func (s *Store) expiredLock(name string, now time.Time) *statemachine.ExpireLock {
	lock, held := s.state.Locks[name]
	if lease, ok := s.leases[name]; !held || !ok || lease.fence != lock.Fence || !now.After(lease.expires) {
		return nil
	}
	return &statemachine.ExpireLock{Name: name, Fence: lock.Fence, Renewals: lock.Renewals}
}

// expireLocks proposes the end of expired locks that nobody requests. A lock
// that is requested ends in the entry that gives it to the next owner.
func (t *leadership) expireLocks(context.Context) {
	store := t.store
	now := time.Now()
	var expired []*statemachine.ExpireLock
	store.mu.Lock()
	for name := range store.state.Locks {
		if command := store.expiredLock(name, now); command != nil {
			expired = append(expired, command)
		}
	}
	store.mu.Unlock()
	for _, command := range expired {
		packed, err := statemachine.Pack("lock.expire", command)
		if err != nil {
			continue
		}
		t.tasks.Go("expire", func(ctx context.Context) { _, _ = t.propose(ctx, packed) })
	}
}

// trimCommands returns the commands that drop history beyond its bounds. They
// go with an entry that is written anyway, so that they need none of their
// own. Changes are kept for a fifth longer than WatchHistory, and puts for
// three fifths longer, since retried puts are recognized by them. mu is held.
func (s *Store) trimCommands(now time.Time) map[string]statemachine.Command {
	s.recordRevisions(now)
	changeRetention, putRetention := s.Settings.WatchHistory+s.Settings.WatchHistory/5, s.Settings.WatchHistory+s.Settings.WatchHistory*3/5
	commands := map[string]statemachine.Command{}
	outdated := 0
	for outdated < len(s.revisionMarks)-1 && now.Sub(s.revisionMarks[outdated].at) > putRetention {
		outdated++
	}
	if outdated > 0 {
		if to := s.revisionMarks[outdated-1].puts; to > s.state.CompactedPuts {
			commands["cell.trim"] = &statemachine.CompactPuts{To: to}
		}
		s.revisionMarks = append([]revisionMark(nil), s.revisionMarks[outdated:]...)
	}
	to := uint64(0)
	for _, m := range s.revisionMarks {
		if now.Sub(m.at) <= changeRetention {
			break
		}
		to = m.revision
	}
	if to >= s.state.OldestRevision {
		commands["history.trim"] = &statemachine.CompactChanges{To: to}
	}
	if c := s.trimRequests(now); c != nil {
		commands["request.trim"] = c
	}
	return commands
}
