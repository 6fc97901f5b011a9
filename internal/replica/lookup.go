package replica

import (
	"context"
	"time"

	"puffincrank/internal/ormap"
)

// DefaultRetries is how often a lookup that found nothing is tried again at first.
const DefaultRetries = 3

// Local gives the entries of a service that this node owns.
func (r *Replica) Local(service string) []ormap.Entry {
	var out []ormap.Entry
	for _, e := range r.entriesOfService(service) {
		if e.Owner == r.self.Node {
			out = append(out, e)
		}
	}
	return out
}

// Lookup gives every entry of a service that this replica knows.
func (r *Replica) Lookup(service string) []ormap.Entry { return r.entriesOfService(service) }

// Find gives the single best match: an own one, then one of the own area,
// then any. It tries again with a short backoff, which covers the time that a
// fresh registration takes to get here.
func (r *Replica) Find(ctx context.Context, service string, retries int) (ormap.Entry, bool) {
	for attempt := 0; ; attempt++ {
		entries := r.entriesOfService(service)
		best, bestScore := ormap.Entry{}, 0
		for _, e := range entries {
			score := 1
			if e.Owner == r.self.Node {
				score = 3
			} else if e.Zone == r.self.Zone {
				score = 2
			}
			if score > bestScore {
				best, bestScore = e, score
			}
		}
		if bestScore > 0 || attempt >= retries || !r.Backoff(ctx, attempt) {
			return best, bestScore > 0
		}
	}
}

// Backoff is the backoff before the lookup is tried again; false means that the
// time left is over.
func (r *Replica) Backoff(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(r.heartbeat / 8 << min(attempt, 4))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ReplaceRemote puts what a refill brought in the place of all that others said.
func (r *Replica) ReplaceRemote(state ormap.Delta) {
	r.mu.Lock()
	r.entries.Clear(func(e ormap.Entry) bool { return e.Dot.Node == r.dotNode })
	clear(r.index)
	r.updateIndex(r.entries.Live(nil), nil)
	r.mu.Unlock()
	r.apply(state, false)
}

// Restore adds what was known in an earlier life, and tells nobody: all whose
// replicas are empty are refilled from here.
func (r *Replica) Restore(state ormap.Delta) {
	r.apply(state, false)
	// Whoever asks from now on is given it, not what was packed just before.
	r.stateCache.Lock()
	r.stateCache.at = time.Time{}
	r.stateCache.Unlock()
}

// OwnRemoved tells whether an own entry was found removed by somebody else.
func (r *Replica) OwnRemoved(d ormap.Dot) bool { return r.entries.IsTombstoned(d) }

// Dot is the node part of this node's dots.
func (r *Replica) Dot() string { return r.dotNode }

// SetRefillPending tells whether a refill is to come: until then the replica is not
// compared with any.
func (r *Replica) SetRefillPending(pending bool) {
	r.mu.Lock()
	r.refillPending = pending
	r.mu.Unlock()
}

func (r *Replica) isRefillPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refillPending
}
