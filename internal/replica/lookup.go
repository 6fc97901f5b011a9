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
	for _, e := range r.list(service) {
		if e.Owner == r.self.Node {
			out = append(out, e)
		}
	}
	return out
}

// Lookup gives every entry of a service that this replica knows.
func (r *Replica) Lookup(service string) []ormap.Entry { return r.list(service) }

// Find gives the single best match: an own one, then one of the own area,
// then any. It tries again with a short backoff, which covers the time that a
// fresh registration takes to get here.
func (r *Replica) Find(ctx context.Context, service string, retries int) (ormap.Entry, bool) {
	for try := 0; ; try++ {
		all := r.list(service)
		best, rank := ormap.Entry{}, 0
		for _, e := range all {
			n := 1
			if e.Owner == r.self.Node {
				n = 3
			} else if e.Zone == r.self.Zone {
				n = 2
			}
			if n > rank {
				best, rank = e, n
			}
		}
		if rank > 0 || try >= retries || !r.Backoff(ctx, try) {
			return best, rank > 0
		}
	}
}

// Backoff is the backoff before the lookup is tried again; false means that the
// time left is over.
func (r *Replica) Backoff(ctx context.Context, try int) bool {
	t := time.NewTimer(r.beat / 8 << min(try, 4))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// ReplaceRemote puts what a refill brought in the place of all that others said.
func (r *Replica) ReplaceRemote(all ormap.Delta) {
	r.mu.Lock()
	r.m.Clear(func(e ormap.Entry) bool { return e.Dot.Node == r.dot })
	clear(r.index)
	r.indexed(r.m.Live(nil), nil)
	r.mu.Unlock()
	r.take(all, false)
}

// Restore adds what was known in an earlier life, and tells nobody: all whose
// replicas are empty are refilled from here.
func (r *Replica) Restore(all ormap.Delta) {
	r.take(all, false)
	// Whoever asks from now on is given it, not what was packed just before.
	r.full.Lock()
	r.full.at = time.Time{}
	r.full.Unlock()
}

// OwnRemoved tells whether an own entry was found removed by somebody else.
func (r *Replica) OwnRemoved(d ormap.Dot) bool { return r.m.IsTombstoned(d) }

// DotNode is the node part of this node's dots.
func (r *Replica) DotNode() string { return r.dot }

// SetRefillPending tells whether a refill is to come: until then the replica is not
// compared with any.
func (r *Replica) SetRefillPending(on bool) {
	r.mu.Lock()
	r.await = on
	r.mu.Unlock()
}

func (r *Replica) awaits() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.await
}
