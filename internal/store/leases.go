package store

import (
	"context"
	"time"

	"puffincrank/internal/statemachine"
)

// lease is when a lock's time to live runs out, on this store's own monotonic
// clock. Every store keeps it from the moment in which it applied the newest
// word on the lock, which is never before the holder sent that: so whoever
// becomes the leader goes on with what is left.
type lease struct {
	fence uint64
	renew uint64 // the newest word on it
	end   time.Time
}

// withDrift is what clocks of two machines may differ over a time to live.
func withDrift(ttl time.Duration) time.Duration { return ttl + ttl/1024 }

// revisionMark says which revisions stood at a moment: all up to there are older.
type revisionMark struct {
	at   time.Time
	rev  uint64
	puts uint64
}

// restartLeases starts all clocks anew for a state that came whole; mu is held.
func (s *Store) restartLeases() {
	now := time.Now()
	s.leases = map[string]lease{}
	for n, l := range s.state.Locks {
		s.leases[n] = lease{l.Fence, l.Renewals, now.Add(withDrift(time.Duration(l.TTL) * time.Millisecond))}
	}
	s.revisionMarks = []revisionMark{{now, s.state.Revision, s.state.TotalPuts()}}
	s.requestMarks = nil
	s.markRequests(now)
}

// recordLeases notes what an entry did to locks and histories; mu is held.
func (s *Store) recordLeases(cmds []statemachine.Command, out []statemachine.Result) {
	now := time.Now()
	for i, c := range cmds {
		if out[i].Code != statemachine.OK {
			continue
		}
		switch c := c.(type) {
		case *statemachine.AcquireLock:
			end := now.Add(withDrift(time.Duration(c.TTL) * time.Millisecond))
			// A renewal never takes time away, see TakeLock.
			if old, ok := s.leases[c.Name]; ok && old.fence == out[i].Lock.Fence && old.end.After(end) {
				end = old.end
			}
			s.leases[c.Name] = lease{out[i].Lock.Fence, out[i].Lock.Renewals, end}
		case *statemachine.ReleaseLock:
			delete(s.leases, c.Name)
		case *statemachine.ExpireLock:
			delete(s.leases, c.Name)
		}
	}
	s.markPast(now)
}

// markPast notes from time to time which revisions stand; mu is held.
func (s *Store) markPast(now time.Time) {
	if now.Sub(s.revisionMarks[len(s.revisionMarks)-1].at) >= s.Settings.Lease() {
		s.revisionMarks = append(s.revisionMarks, revisionMark{now, s.state.Revision, s.state.TotalPuts()})
	}
	s.markRequests(now)
}

// expiredLock gives the end of a lock whose time has run out; nil while it has not.
// mu is held.
func (s *Store) expiredLock(name string, now time.Time) *statemachine.ExpireLock {
	l, held := s.state.Locks[name]
	if c, ok := s.leases[name]; !held || !ok || c.fence != l.Fence || !now.After(c.end) {
		return nil
	}
	return &statemachine.ExpireLock{Name: name, Fence: l.Fence, Renewals: l.Renewals}
}

// expireLocks proposes the end of locks that nobody asks for any more. Those that
// somebody asks for end in the entry that gives them to him.
func (t *leadership) expireLocks(context.Context) {
	s := t.s
	now := time.Now()
	var out []*statemachine.ExpireLock
	s.mu.Lock()
	for n := range s.state.Locks {
		if c := s.expiredLock(n, now); c != nil {
			out = append(out, c)
		}
	}
	s.mu.Unlock()
	for _, c := range out {
		p, err := statemachine.Pack("lock.expire", c)
		if err != nil {
			continue
		}
		t.g.Go("expire", func(ctx context.Context) { _, _ = t.propose(ctx, p) })
	}
}

// trimCommands gives the commands that forget what is older than the bounds. They go
// with an entry that is made anyway, so that they cost none of their own.
// History is kept for a fifth longer than its bound, and puts longer still,
// since they also tell one that is sent again. mu is held.
func (s *Store) trimCommands(now time.Time) map[string]statemachine.Command {
	s.markPast(now)
	keep, long := s.Settings.WatchHistory+s.Settings.WatchHistory/5, s.Settings.WatchHistory+s.Settings.WatchHistory*3/5
	out := map[string]statemachine.Command{}
	n := 0
	for n < len(s.revisionMarks)-1 && now.Sub(s.revisionMarks[n].at) > long {
		n++
	}
	if n > 0 {
		if to := s.revisionMarks[n-1].puts; to > s.state.CompactedPuts {
			out["cell.trim"] = &statemachine.CompactPuts{To: to}
		}
		s.revisionMarks = append([]revisionMark(nil), s.revisionMarks[n:]...)
	}
	to := uint64(0)
	for _, m := range s.revisionMarks {
		if now.Sub(m.at) <= keep {
			break
		}
		to = m.rev
	}
	if to >= s.state.OldestRevision {
		out["history.trim"] = &statemachine.CompactChanges{To: to}
	}
	if c := s.trimRequests(now); c != nil {
		out["request.trim"] = c
	}
	return out
}
