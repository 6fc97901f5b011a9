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
	"puffincrank/internal/transport"
)

// roleElection is one that a single control node does, won by a round of ballots with
// the stores as voters each time it falls vacant.
type roleElection struct {
	r     *Registry
	name  string
	work  func(ctx context.Context, num ballot.Number)
	mu    sync.Mutex
	num   ballot.Number
	held  bool
	major time.Time
	seen  uint64
}

func newRoleElection(r *Registry, name string, work func(context.Context, ballot.Number)) *roleElection {
	return &roleElection{r: r, name: name, work: work}
}

// leads gives the ballot while the role is held.
func (d *roleElection) leads() (ballot.Number, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.num, d.held && time.Since(d.major) < d.r.Settings.Lease()
}

func (d *roleElection) run(ctx context.Context) {
	for ctx.Err() == nil {
		if num, ok := d.leads(); ok {
			d.r.e.Sleep(ctx, d.r.Settings.HeartbeatInterval())
			if d.vote(ctx, "beat", num) {
				d.work(ctx, num)
			} else if _, still := d.leads(); !still {
				d.stepDown("no majority of the stores")
			}
			continue
		}
		d.stepDown("the lease ran out")
		d.r.e.Sleep(ctx, d.r.Settings.Lease()/2+time.Duration(rand.Int64N(int64(d.r.Settings.Lease()))))
		if !d.r.Ready() {
			continue
		}
		d.campaign(ctx)
	}
}

func (d *roleElection) stepDown(why string) {
	d.mu.Lock()
	was := d.held
	d.held = false
	d.mu.Unlock()
	if was {
		d.r.e.Log.Emit(event.RoleLost, "duty", d.name, "why", why)
	}
}

// campaign is one try to win the role. The number goes into the log as a fence
// before any work, so that an earlier holder's late word is refused.
func (d *roleElection) campaign(ctx context.Context) {
	d.mu.Lock()
	num := ballot.Number{Round: d.seen + 1, Candidate: d.r.Settings.Node}
	d.mu.Unlock()
	from := time.Now()
	if !d.vote(ctx, "ask", num) {
		return
	}
	one, end := context.WithTimeout(ctx, d.r.Settings.Lease())
	defer end()
	got, err := d.r.stores.propose(one, "duty.fence", &statemachine.FenceRole{Role: d.name, Ballot: num})
	if err != nil || got.Code != statemachine.OK {
		return
	}
	d.mu.Lock()
	d.num, d.held, d.major = num, true, from
	d.mu.Unlock()
	d.r.e.Log.Emit(event.RoleWon, "duty", d.name, "ballot", num.String())
}

// vote asks all stores and counts a majority of yes.
func (d *roleElection) vote(ctx context.Context, op string, num ballot.Number) bool {
	from := time.Now()
	ctx, end := context.WithTimeout(ctx, d.r.Settings.CallTimeout())
	defer end()
	d.r.stores.mu.Lock()
	all := d.r.stores.members
	d.r.stores.mu.Unlock()
	if len(all) == 0 {
		return false
	}
	yes := 0
	ballot.Poll(ctx, d.r.g, all, func(ctx context.Context, to string) (store.RoleVote, error) {
		return transport.Call[store.RoleVote](ctx, d.r.n, to, "store.duty", store.RoleBallot{Role: d.name, Ballot: num, Op: op})
	}, func(_ string, v store.RoleVote, err error) bool {
		if err == nil && v.Granted {
			yes++
		}
		d.mu.Lock()
		d.seen = max(d.seen, v.Promised.Round)
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

// vacate gives the role up at once.
func (d *roleElection) vacate() {
	num, ok := d.leads()
	if !ok {
		return
	}
	d.stepDown("handed on")
	d.vote(d.r.g.Context(), "vacate", num)
}

// retireNodes retires the entries of nodes that have no session with any control
// node in touch for the retire bound, counted only while the steward itself
// is in touch with a majority.
func (r *Registry) retireNodes(_ context.Context, num ballot.Number) {
	if !r.inTouch() {
		r.mu.Lock()
		r.away = map[string]time.Time{}
		r.mu.Unlock()
		return
	}
	live := r.rep.Map().Live(nil)
	r.mu.Lock()
	here := r.roll.List()
	now := time.Now()
	dead := map[string]bool{}
	seen := map[string]bool{}
	for _, e := range live {
		seen[e.Owner] = true
		if here.Has(e.Owner) {
			delete(r.away, e.Owner)
		} else if t, ok := r.away[e.Owner]; !ok {
			r.away[e.Owner] = now
		} else if now.Sub(t) > r.Settings.RetireAfter {
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
		count := r.rep.RetireNode(n, func(ormap.Entry) bool { return true })
		r.e.Log.Emit(event.Retired, "node", n, "entries", count, "ballot", num.String())
	}
}
