package store

import (
	"context"
	"time"

	"puffincrank/internal/transport"
)

// remainingLease is a lock's remaining time by the clock of one store.
type remainingLease struct {
	Fence       uint64 `msgpack:"f"`
	Renewals    uint64 `msgpack:"r"`
	RemainingMS int64  `msgpack:"l"` // at the moment of the response
}

type remainingLeasesRequest struct{}

type remainingLeasesResponse struct {
	Locks map[string]remainingLease `msgpack:"l"`
}

// onRemainingLeases returns the remaining time of each lock by this store's
// clock.
func (s *Store) onRemainingLeases(context.Context, transport.Hello, remainingLeasesRequest) (remainingLeasesResponse, error) {
	response := remainingLeasesResponse{Locks: map[string]remainingLease{}}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, lease := range s.leases {
		response.Locks[name] = remainingLease{lease.fence, lease.renewals, lease.expires.Sub(now).Milliseconds() + 1}
	}
	return response, nil
}

// collectLeases asks the other members for their leases: a recently restarted
// leader counts the full time to live of locks that others saw acquired long
// ago. No store's lease expires before the holder's own count of it, so the
// shortest one is right.
func (t *leadership) collectLeases(ctx context.Context) {
	store := t.store
	addresses, _ := store.memberAddresses()
	for _, address := range addresses {
		if address == store.Settings.InternalAddr {
			continue
		}
		t.tasks.Go("ask-clocks", func(context.Context) {
			ctx, cancel := context.WithTimeout(ctx, store.Settings.CallTimeout())
			defer cancel()
			if response, err := transport.Call[remainingLeasesResponse](ctx, store.node, address, "store.left", remainingLeasesRequest{}); err == nil {
				store.adoptLeases(response)
			}
		})
	}
}

// adoptLeases takes over earlier expiry times from a store that knows the
// newest acquisition or renewal of the lock.
func (s *Store) adoptLeases(response remainingLeasesResponse) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, remaining := range response.Locks {
		lease, ok := s.leases[name]
		expires := now.Add(time.Duration(remaining.RemainingMS) * time.Millisecond)
		if ok && lease.fence == remaining.Fence && lease.renewals == remaining.Renewals && expires.Before(lease.expires) {
			lease.expires = expires
			s.leases[name] = lease
		}
	}
}
