package store

import (
	"context"
	"time"

	"puffincrank/internal/ledger"
)

// clock is when a lock's time to live runs out, on this store's own monotonic
// clock. Every store keeps it from the moment in which it applied the newest
// word on the lock, which is never before the holder sent that: so whoever
// becomes the writer goes on with what is left.
type clock struct {
	fence uint64
	renew uint64 // the newest word on it
	end   time.Time
}

// drift is what clocks of two machines may differ over a time to live.
func drift(ttl time.Duration) time.Duration { return ttl + ttl/1024 }

// mark says which revisions stood at a moment: all up to there are older.
type mark struct {
	at   time.Time
	rev  uint64
	puts uint64
}

// wind starts all clocks anew for a state that came whole; mu is held.
func (s *Store) wind() {
	now := time.Now()
	s.locks = map[string]clock{}
	for n, l := range s.led.Locks {
		s.locks[n] = clock{l.Fence, l.Renew, now.Add(drift(time.Duration(l.TTL) * time.Millisecond))}
	}
	s.past = []mark{{now, s.led.Rev, s.led.Given()}}
	s.requestMarks = nil
	s.markRequests(now)
}

// clock notes what a version did to locks and histories; mu is held.
func (s *Store) clock(cmds []ledger.Command, out []ledger.Receipt) {
	now := time.Now()
	for i, c := range cmds {
		if out[i].Code != ledger.OK {
			continue
		}
		switch c := c.(type) {
		case *ledger.TakeLock:
			end := now.Add(drift(time.Duration(c.TTL) * time.Millisecond))
			// A renewal never takes time away, see TakeLock.
			if old, ok := s.locks[c.Name]; ok && old.fence == out[i].Lock.Fence && old.end.After(end) {
				end = old.end
			}
			s.locks[c.Name] = clock{out[i].Lock.Fence, out[i].Lock.Renew, end}
		case *ledger.FreeLock:
			delete(s.locks, c.Name)
		case *ledger.ExpireLock:
			delete(s.locks, c.Name)
		}
	}
	s.markPast(now)
}

// markPast notes from time to time which revisions stand; mu is held.
func (s *Store) markPast(now time.Time) {
	if now.Sub(s.past[len(s.past)-1].at) >= s.P.Lease() {
		s.past = append(s.past, mark{now, s.led.Rev, s.led.Given()})
	}
	s.markRequests(now)
}

// over gives the end of a lock whose time has run out; nil while it has not.
// mu is held.
func (s *Store) over(name string, now time.Time) *ledger.ExpireLock {
	l, held := s.led.Locks[name]
	if c, ok := s.locks[name]; !held || !ok || c.fence != l.Fence || !now.After(c.end) {
		return nil
	}
	return &ledger.ExpireLock{Name: name, Fence: l.Fence, Renew: l.Renew}
}

// expire proposes the end of locks that nobody asks for any more. Those that
// somebody asks for end in the version that gives them to him.
func (t *term) expire(context.Context) {
	s := t.s
	now := time.Now()
	var out []*ledger.ExpireLock
	s.mu.Lock()
	for n := range s.led.Locks {
		if c := s.over(n, now); c != nil {
			out = append(out, c)
		}
	}
	s.mu.Unlock()
	for _, c := range out {
		p, err := ledger.Pack("lock.expire", c)
		if err != nil {
			continue
		}
		t.g.Go("expire", func(ctx context.Context) { _, _ = t.offer(ctx, p) })
	}
}

// trims gives the commands that forget what is older than the bounds. They go
// with a version that is made anyway, so that they cost none of their own.
// History is kept for a fifth longer than its bound, and puts longer still,
// since they also tell one that is sent again. mu is held.
func (s *Store) trims(now time.Time) map[string]ledger.Command {
	s.markPast(now)
	keep, long := s.P.History+s.P.History/5, s.P.History+s.P.History*3/5
	out := map[string]ledger.Command{}
	n := 0
	for n < len(s.past)-1 && now.Sub(s.past[n].at) > long {
		n++
	}
	if n > 0 {
		if to := s.past[n-1].puts; to > s.led.Trimmed {
			out["cell.trim"] = &ledger.TrimPuts{To: to}
		}
		s.past = append([]mark(nil), s.past[n:]...)
	}
	to := uint64(0)
	for _, m := range s.past {
		if now.Sub(m.at) <= keep {
			break
		}
		to = m.rev
	}
	if to >= s.led.Oldest {
		out["history.trim"] = &ledger.TrimPast{To: to}
	}
	if c := s.trimRequests(now); c != nil {
		out["request.trim"] = c
	}
	return out
}
