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

// roleElection elects the holder of a role that only one control node has at a time. Each
// time the role is vacant, it is won in a round of ballots with the stores as voters. A
// majority has to renew it at each heartbeat, or the lease runs out.
type roleElection struct {
	registry     *Registry
	name         string
	work         func(ctx context.Context, number ballot.Number)
	mu           sync.Mutex
	ballot       ballot.Number // the ballot that last won the role here
	holding      bool
	majorityAt   time.Time // start of the last round that a majority granted; the lease counts from it
	highestRound uint64    // the highest round promised by any store
}

func newRoleElection(registry *Registry, name string, work func(context.Context, ballot.Number)) *roleElection {
	return &roleElection{registry: registry, name: name, work: work}
}

// leads returns the ballot number and true while this node holds the role.
func (e *roleElection) leads() (ballot.Number, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ballot, e.holding && time.Since(e.majorityAt) < e.registry.Settings.Lease()
}

func (e *roleElection) run(ctx context.Context) {
	for ctx.Err() == nil {
		if number, ok := e.leads(); ok {
			e.registry.env.Sleep(ctx, e.registry.Settings.HeartbeatInterval())
			if e.collectVotes(ctx, "beat", number) {
				e.work(ctx, number)
			} else if _, holding := e.leads(); !holding {
				e.stepDown("no majority of the stores")
			}
			continue
		}
		e.stepDown("the lease ran out")
		e.registry.env.Sleep(ctx, e.registry.Settings.Lease()/2+time.Duration(rand.Int64N(int64(e.registry.Settings.Lease()))))
		if !e.registry.Ready() {
			continue
		}
		e.campaign(ctx)
	}
}

func (e *roleElection) stepDown(reason string) {
	e.mu.Lock()
	wasHolding := e.holding
	e.holding = false
	e.mu.Unlock()
	if wasHolding {
		e.registry.env.Log.Emit(event.RoleLost, "duty", e.name, "why", reason)
	}
}

// campaign tries once to win the role. The ballot number is committed to the log as a fence
// before any work, so that late commands of an earlier holder are refused.
func (e *roleElection) campaign(ctx context.Context) {
	e.mu.Lock()
	number := ballot.Number{Round: e.highestRound + 1, Candidate: e.registry.Settings.Node}
	e.mu.Unlock()
	startedAt := time.Now()
	if !e.collectVotes(ctx, "ask", number) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, e.registry.Settings.Lease())
	defer cancel()
	result, err := e.registry.stores.propose(callCtx, "duty.fence", &statemachine.FenceRole{Role: e.name, Ballot: number})
	if err != nil || result.Code != statemachine.OK {
		return
	}
	e.mu.Lock()
	e.ballot, e.holding, e.majorityAt = number, true, startedAt
	e.mu.Unlock()
	e.registry.env.Log.Emit(event.RoleWon, "duty", e.name, "ballot", number.String())
}

// collectVotes asks all stores and reports whether a majority granted.
func (e *roleElection) collectVotes(ctx context.Context, operation string, number ballot.Number) bool {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.registry.Settings.CallTimeout())
	defer cancel()
	e.registry.stores.mu.Lock()
	voters := e.registry.stores.members
	e.registry.stores.mu.Unlock()
	if len(voters) == 0 {
		return false
	}
	granted := 0
	ballot.Poll(ctx, e.registry.group, voters, func(ctx context.Context, addr string) (store.RoleVote, error) {
		return transport.Call[store.RoleVote](ctx, e.registry.node, addr, "store.duty", store.RoleBallot{Role: e.name, Ballot: number, Op: operation})
	}, func(_ string, vote store.RoleVote, err error) bool {
		if err == nil && vote.Granted {
			granted++
		}
		e.mu.Lock()
		e.highestRound = max(e.highestRound, vote.Promised.Round)
		e.mu.Unlock()
		return granted > len(voters)/2
	})
	if granted <= len(voters)/2 {
		return false
	}
	e.mu.Lock()
	e.majorityAt = startedAt
	e.mu.Unlock()
	return true
}

// vacate gives the role up at once, so that another node can win it before the lease ends.
func (e *roleElection) vacate() {
	number, ok := e.leads()
	if !ok {
		return
	}
	e.stepDown("handed on")
	e.collectVotes(e.registry.group.Context(), "vacate", number)
}

// retireNodes removes the entries of nodes that have had no session with any reachable
// control node for longer than RetireAfter. The time counts only while the steward itself
// is connected to a majority.
func (r *Registry) retireNodes(_ context.Context, number ballot.Number) {
	if !r.connected() {
		r.mu.Lock()
		r.absentSince = map[string]time.Time{}
		r.mu.Unlock()
		return
	}
	entries := r.replica.Map().Live(nil)
	r.mu.Lock()
	members := r.members.List()
	now := time.Now()
	expired := map[string]bool{}
	owners := map[string]bool{}
	for _, e := range entries {
		owners[e.Owner] = true
		if members.Has(e.Owner) {
			delete(r.absentSince, e.Owner)
		} else if since, ok := r.absentSince[e.Owner]; !ok {
			r.absentSince[e.Owner] = now
		} else if now.Sub(since) > r.Settings.RetireAfter {
			expired[e.Owner] = true
		}
	}
	for n := range r.absentSince {
		if !owners[n] {
			delete(r.absentSince, n)
		}
	}
	r.mu.Unlock()
	for n := range expired {
		count := r.replica.RetireNode(n, func(ormap.Entry) bool { return true })
		r.env.Log.Emit(event.Retired, "node", n, "entries", count, "ballot", number.String())
	}
}
