package store

import (
	"context"
	"time"

	"puffincrank/internal/ledger"
)

// clock is when a lock's time to live runs out, on the writer's own
// monotonic clock.
type clock struct {
	lock ledger.Lock
	end  time.Time
}

// mark says which revision stood at a moment.
type mark struct {
	at  time.Time
	rev uint64
}

// note starts the clocks of the locks that a batch took or renewed.
func (t *term) note(ledger.Batch, []ledger.Receipt) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for n, l := range s.led.Locks {
		if c, ok := t.locks[n]; !ok || c.lock.Renew != l.Renew || c.lock.Fence != l.Fence {
			t.locks[n] = clock{l, now.Add(time.Duration(l.TTL) * time.Millisecond)}
		}
	}
	for n := range t.locks {
		if _, ok := s.led.Locks[n]; !ok {
			delete(t.locks, n)
		}
	}
}

// expire proposes the end of locks whose time ran out and of history that is
// older than the bound. A new writer lets both run in full from its start.
func (t *term) expire(ctx context.Context) {
	t.note(nil, nil)
	s := t.s
	now := time.Now()
	s.mu.Lock()
	rev, oldest := s.led.Rev, s.led.Oldest
	s.mu.Unlock()
	type due struct {
		kind string
		cmd  ledger.Command
	}
	var out []due
	t.mu.Lock()
	for n, c := range t.locks {
		if now.After(c.end) {
			out = append(out, due{"lock.expire", &ledger.ExpireLock{Name: n, Fence: c.lock.Fence, Renew: c.lock.Renew}})
		}
	}
	t.past = append(t.past, mark{now, rev})
	// History is kept for a fifth longer than the bound and trimmed in steps,
	// so that trimming makes few versions.
	keep := s.P.History + s.P.History/5
	to := uint64(0)
	for len(t.past) > 0 && now.Sub(t.past[0].at) > keep {
		to = t.past[0].rev
		t.past = t.past[1:]
	}
	t.mu.Unlock()
	if to >= oldest && (to-oldest >= 128 || now.Sub(t.began).Truncate(s.P.Beat())%(keep/4) == 0) {
		out = append(out, due{"history.trim", &ledger.TrimPast{To: to}})
	}
	for _, d := range out {
		p, err := ledger.Pack(d.kind, d.cmd)
		if err != nil {
			continue
		}
		t.g.Go("expire", func(ctx context.Context) { _, _ = t.offer(ctx, p) })
	}
}
