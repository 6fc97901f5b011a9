package store

import (
	"context"
	"time"

	"puffincrank/internal/transport"
)

// lockLeft is what is left of one lock's time by one store's clock.
type lockLeft struct {
	Fence uint64 `msgpack:"f"`
	Renew uint64 `msgpack:"r"`
	Left  int64  `msgpack:"l"` // ms, at the moment of the answer
}

type leftAsk struct{}

type leftGot struct {
	Locks map[string]lockLeft `msgpack:"l"`
}

// onLeft tells what is left of each lock by this store's clock.
func (s *Store) onLeft(context.Context, transport.Hello, leftAsk) (leftGot, error) {
	got := leftGot{Locks: map[string]lockLeft{}}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, c := range s.leases {
		got.Locks[n] = lockLeft{c.fence, c.renew, c.end.Sub(now).Milliseconds() + 1}
	}
	return got, nil
}

// gatherLeases asks the others for their clocks: a leader that was itself restarted
// lately counts locks in full that others saw taken long ago. No clock ends
// before its holder's own, so the least one is right.
func (t *leadership) gatherLeases(ctx context.Context) {
	s := t.s
	who, _ := s.memberAddresses()
	for _, a := range who {
		if a == s.Settings.InternalAddr {
			continue
		}
		t.g.Go("ask-clocks", func(context.Context) {
			ctx, end := context.WithTimeout(ctx, s.Settings.CallTimeout())
			defer end()
			if got, err := transport.Call[leftGot](ctx, s.n, a, "store.left", leftAsk{}); err == nil {
				s.adoptLeases(got)
			}
		})
	}
}

// adoptLeases takes over ends that are earlier, of clocks that know the newest
// word on their lock.
func (s *Store) adoptLeases(got leftGot) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, l := range got.Locks {
		c, ok := s.leases[n]
		end := now.Add(time.Duration(l.Left) * time.Millisecond)
		if ok && c.fence == l.Fence && c.renew == l.Renew && end.Before(c.end) {
			c.end = end
			s.leases[n] = c
		}
	}
}
