package replica

import (
	"context"
	"time"

	"puffincrank/internal/ormap"
)

// DefaultRetries is the default number of retries of a lookup that found nothing.
const DefaultRetries = 3

// Local returns the entries of a service that this node owns.
func (r *Replica) Local(service string) []ormap.Entry {
	var out []ormap.Entry
	for _, e := range r.entriesOfService(service) {
		if e.Owner == r.self.Node {
			out = append(out, e)
		}
	}
	return out
}

// Lookup returns all known entries of a service. The caller must not modify the slice.
func (r *Replica) Lookup(service string) []ormap.Entry { return r.entriesOfService(service) }

// Find returns the best entry of a service: one of this node if there is any, else one
// of its zone, else any. If there is none, it retries with a short backoff, which
// covers the time that a new registration takes to reach this replica.
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

// Backoff waits before the next attempt of a lookup, with exponentially growing delays
// from an eighth of a heartbeat to two heartbeats. It returns false if ctx ends first.
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

// ReplaceRemote replaces all entries of other nodes with the state from a refill. Those of earlier
// starts of this node stay until it has retired them: the refill may be older than they are.
func (r *Replica) ReplaceRemote(state ormap.Delta) {
	r.mu.Lock()
	r.entries.Clear(func(e ormap.Entry) bool { return e.Owner == r.self.Node })
	clear(r.index)
	r.updateIndex(r.entries.Live(nil), nil)
	r.mu.Unlock()
	r.apply(state, false)
}

// Restore merges the state saved by an earlier run of this node. It does not gossip the
// entries: nodes with an empty replica get them by a refill.
func (r *Replica) Restore(state ormap.Delta) {
	r.apply(state, false)
	// Discard the cached encoding, so that later requests include the restored state.
	r.stateCache.Lock()
	r.stateCache.encodedAt = time.Time{}
	r.stateCache.Unlock()
}

// OwnRemoved reports whether an entry of this node was removed by another node.
func (r *Replica) OwnRemoved(d ormap.Dot) bool { return r.entries.IsTombstoned(d) }

// DotNode returns the node part of this node's dots: its name and incarnation.
func (r *Replica) DotNode() string { return r.dotNode }

// SetRefillPending sets whether the replica still waits for a refill. While it does, it
// takes no part in repair and serves no refills.
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
