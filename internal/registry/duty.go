package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/ormap"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
	"puffincrank/internal/wire"
)

// duty is one that a single control node does, won by a round of ballots with
// the stores as voters each time it falls vacant.
type duty struct {
	r     *Registry
	name  string
	work  func(ctx context.Context, num ballot.Number)
	mu    sync.Mutex
	num   ballot.Number
	held  bool
	major time.Time
	seen  uint64
}

func newDuty(r *Registry, name string, work func(context.Context, ballot.Number)) *duty {
	return &duty{r: r, name: name, work: work}
}

// holds gives the ballot while the duty is held.
func (d *duty) holds() (ballot.Number, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.num, d.held && time.Since(d.major) < d.r.P.Lease()
}

func (d *duty) run(ctx context.Context) {
	for ctx.Err() == nil {
		if num, ok := d.holds(); ok {
			d.r.e.Pause(ctx, d.r.P.Beat())
			if d.vote(ctx, "beat", num) {
				d.work(ctx, num)
			} else if _, still := d.holds(); !still {
				d.lose("no majority of the stores")
			}
			continue
		}
		d.lose("the lease ran out")
		d.r.e.Pause(ctx, d.r.P.Lease()/2+time.Duration(rand.Int64N(int64(d.r.P.Lease()))))
		if !d.r.Ready() {
			continue
		}
		d.stand(ctx)
	}
}

func (d *duty) lose(why string) {
	d.mu.Lock()
	was := d.held
	d.held = false
	d.mu.Unlock()
	if was {
		d.r.e.Log.Emit(event.Lost, "duty", d.name, "why", why)
	}
}

// stand is one try to win the duty. The number goes into the log as a fence
// before any work, so that an earlier holder's late word is refused.
func (d *duty) stand(ctx context.Context) {
	d.mu.Lock()
	num := ballot.Number{Round: d.seen + 1, Candidate: d.r.P.Node}
	d.mu.Unlock()
	from := time.Now()
	if !d.vote(ctx, "ask", num) {
		return
	}
	one, end := context.WithTimeout(ctx, d.r.P.Lease())
	defer end()
	got, err := d.r.stores.offer(one, "duty.fence", &statemachine.FenceRole{Role: d.name, Ballot: num})
	if err != nil || got.Code != statemachine.OK {
		return
	}
	d.mu.Lock()
	d.num, d.held, d.major = num, true, from
	d.mu.Unlock()
	d.r.e.Log.Emit(event.Won, "duty", d.name, "ballot", num.String())
}

// vote asks all stores and counts a majority of yes.
func (d *duty) vote(ctx context.Context, op string, num ballot.Number) bool {
	from := time.Now()
	ctx, end := context.WithTimeout(ctx, d.r.P.Patience())
	defer end()
	d.r.stores.mu.Lock()
	all := d.r.stores.all
	d.r.stores.mu.Unlock()
	if len(all) == 0 {
		return false
	}
	yes := 0
	ballot.Poll(ctx, d.r.g, all, func(ctx context.Context, to string) (store.DutyVote, error) {
		return wire.Ask[store.DutyVote](ctx, d.r.n, to, "store.duty", store.DutyAsk{Duty: d.name, Num: num, Op: op})
	}, func(_ string, v store.DutyVote, err error) bool {
		if err == nil && v.Yes {
			yes++
		}
		d.mu.Lock()
		d.seen = max(d.seen, v.Seen.Round)
		d.mu.Unlock()
		return yes > len(all)/2
	})
	if yes <= len(all)/2 {
		return false
	}
	d.mu.Lock()
	d.major = from
	d.mu.Unlock()
	return true
}

// vacate gives the duty up at once.
func (d *duty) vacate() {
	num, ok := d.holds()
	if !ok {
		return
	}
	d.lose("handed on")
	d.vote(d.r.g.Context(), "vacate", num)
}

// steward retires the entries of nodes that have no session with any control
// node in touch for the retire bound, counted only while the steward itself
// is in touch with a majority.
func (r *Registry) steward(_ context.Context, num ballot.Number) {
	if !r.inTouch() {
		r.mu.Lock()
		r.away = map[string]time.Time{}
		r.mu.Unlock()
		return
	}
	live := r.rep.Map().Live(nil)
	r.mu.Lock()
	here := r.roll.Book()
	now := time.Now()
	dead := map[string]bool{}
	seen := map[string]bool{}
	for _, e := range live {
		seen[e.Owner] = true
		if here.Has(e.Owner) {
			delete(r.away, e.Owner)
		} else if t, ok := r.away[e.Owner]; !ok {
			r.away[e.Owner] = now
		} else if now.Sub(t) > r.P.Retire {
			dead[e.Owner] = true
		}
	}
	for n := range r.away {
		if !seen[n] {
			delete(r.away, n)
		}
	}
	r.mu.Unlock()
	for n := range dead {
		count := r.rep.Retire(n, func(ormap.Entry) bool { return true })
		r.e.Log.Emit(event.Retired, "node", n, "entries", count, "ballot", num.String())
	}
}
