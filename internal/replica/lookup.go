package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/member"
	"puffincrank/internal/ormap"
	"puffincrank/internal/wire"
)

// Retries is how often a lookup that found nothing is tried again at first.
const Retries = 3

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

// Whereis gives the single best match: an own one, then one of the own area,
// then any. It tries again with a short backoff, which covers the time that a
// fresh registration takes to get here.
func (r *Replica) Whereis(ctx context.Context, service string, retries int) (ormap.Entry, bool) {
	for try := 0; ; try++ {
		all := r.list(service)
		best, rank := ormap.Entry{}, 0
		for _, e := range all {
			n := 1
			if e.Owner == r.self.Node {
				n = 3
			} else if e.Area == r.self.Area {
				n = 2
			}
			if n > rank {
				best, rank = e, n
			}
		}
		if rank > 0 || try >= retries || !r.Pause(ctx, try) {
			return best, rank > 0
		}
	}
}

// Pause is the backoff before the lookup is tried again; false means that the
// time left is over.
func (r *Replica) Pause(ctx context.Context, try int) bool {
	t := time.NewTimer(r.beat / 8 << min(try, 4))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

type digestAsk struct {
	Total uint64   `msgpack:"t"`
	All   []uint64 `msgpack:"a,omitempty"`
}

type digestGot struct {
	Same   bool        `msgpack:"s"`
	Differ []int       `msgpack:"d"`
	Part   ormap.Delta `msgpack:"p"`
}

func (r *Replica) onDigest(_ context.Context, _ wire.Hello, in digestAsk) (digestGot, error) {
	own := r.m.Digests()
	if ormap.Total(own) == in.Total {
		return digestGot{Same: true}, nil
	}
	// Without the ranges the asker only wanted to know whether all is equal.
	if len(in.All) != ormap.Ranges {
		return digestGot{}, nil
	}
	var got digestGot
	for i := range own {
		if own[i] != in.All[i] {
			got.Differ = append(got.Differ, i)
		}
	}
	got.Part = r.m.Part(got.Differ)
	return got, nil
}

// repair compares digests with one fellow at a time: mostly one of the own
// area, now and then any, since bytes between areas are dear.
func (r *Replica) repair(ctx context.Context) {
	r.Collect()
	r.mu.Lock()
	r.turn++
	any := r.turn%3 == 0
	var pick []member.Fellow
	for _, f := range r.peers {
		if f.Node != r.self.Node && (any || f.Area == r.self.Area) {
			pick = append(pick, f)
		}
	}
	r.mu.Unlock()
	if len(pick) == 0 {
		return
	}
	ctx, end := context.WithTimeout(ctx, 5*r.beat)
	defer end()
	_ = r.Mend(ctx, pick[rand.IntN(len(pick))].Inner)
}

// Mend compares with one fellow and merges the ranges that differ, both ways.
func (r *Replica) Mend(ctx context.Context, addr string) error {
	own := r.m.Digests()
	total := ormap.Total(own)
	got, err := wire.Ask[digestGot](ctx, r.n, addr, "replica.digest", digestAsk{Total: total})
	if err != nil || got.Same {
		return err
	}
	got, err = wire.Ask[digestGot](ctx, r.n, addr, "replica.digest", digestAsk{Total: total, All: own})
	if err != nil || got.Same {
		return err
	}
	r.mu.Lock()
	r.Mends++
	r.mu.Unlock()
	back := r.m.Part(got.Differ)
	r.take(got.Part, true)
	_, err = wire.Ask[struct{}](ctx, r.n, addr, "replica.mend", back)
	return err
}

// Refill drops what others said long ago and pulls all from a control node.
// Own entries stay.
func (r *Replica) Refill(ctx context.Context, addr string) error {
	all, err := wire.Ask[ormap.Delta](ctx, r.n, addr, "replica.all", struct{}{})
	if err != nil {
		return fault.Wrap(fault.Refused, err, "refill")
	}
	r.m.Clear(func(e ormap.Entry) bool { return e.Dot.Node == r.dot })
	r.mu.Lock()
	r.old = true
	r.mu.Unlock()
	r.take(all, false)
	r.log.Emit(event.Refilled, "from", addr, "entries", len(all.Adds))
	return nil
}

// OwnDead tells whether an own entry was found removed by somebody else.
func (r *Replica) OwnDead(d ormap.Dot) bool { return r.m.Dead(d) }

// Dot is the node part of this node's dots.
func (r *Replica) Dot() string { return r.dot }
