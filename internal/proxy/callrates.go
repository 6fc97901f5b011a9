package proxy

import (
	"sync"

	"puffincrank/internal/protocol"
)

// callRates measures what runs of the own worker call in turn: for each path, how
// many calls one run makes to each service on the mean. Nothing in a call says
// whose it is; but only paths that owners found to be called from within are
// looked at, and each call is credited to the runs under way by what each path
// is known to call. That converges on the likeliest means, since what a run
// doesn't make is also made while it doesn't run.
type callRates struct {
	mu      sync.Mutex
	nested  map[string]bool        // paths called from within, as their owners say
	byRoute map[string]*routeCalls // by path of the own worker's runs
	active  map[string]*activeRuns // likewise
}

type routeCalls struct {
	runs      float64
	byService map[string]float64 // service to calls
}

// activeRuns is the runs of one path that go on: how many, and by how much of
// that they count as repeats.
type activeRuns struct{ runs, retryShares float64 }

func newCallRates() *callRates {
	return &callRates{nested: map[string]bool{}, byRoute: map[string]*routeCalls{}, active: map[string]*activeRuns{}}
}

// markNested notes that a path is called from within.
func (c *callRates) markNested(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nested[route] && len(c.nested) >= 1024 {
		clear(c.nested)
	}
	c.nested[route] = true
}

// beginRun and end bracket a run; part is by how much it counts as a repeat.
func (c *callRates) beginRun(route string, retryShare float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.active[route]
	if active == nil {
		active = &activeRuns{}
		c.active[route] = active
	}
	active.runs++
	active.retryShares += retryShare
	made := c.byRoute[route]
	if made == nil {
		// Paths of older configurations must not pile up.
		if len(c.byRoute) >= 1024 {
			clear(c.byRoute)
		}
		made = &routeCalls{byService: map[string]float64{}}
		c.byRoute[route] = made
	}
	// Old figures fade, so that a change shows after a while.
	if made.runs++; made.runs > 2*minSamples {
		made.runs /= 2
		for s := range made.byService {
			made.byService[s] /= 2
		}
	}
}

func (c *callRates) endRun(route string, retryShare float64, ran bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// What the worker declined called nothing.
	if made := c.byRoute[route]; made != nil && !ran {
		made.runs = max(made.runs-1, 0)
	}
	if active := c.active[route]; active != nil {
		active.retryShares -= retryShare
		if active.runs--; active.runs < 1 {
			delete(c.active, route)
		}
	}
}

// rate is what a run of a path calls of a service, as far as it is known; one
// that was never seen to call it may still do so.
func (c *callRates) rate(route, service string) float64 {
	made := c.byRoute[route]
	if made == nil {
		return 0.5
	}
	return (made.byService[service] + 0.5) / (made.runs + 1)
}

// recordCall takes a call to a service and tells by how much of it it is the call of
// a repeated run.
func (c *callRates) recordCall(route, service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nested[route] {
		return 0
	}
	total, retries := 0.0, 0.0
	for p, runs := range c.active {
		r := c.rate(p, service)
		total, retries = total+runs.runs*r, retries+runs.retryShares*r
	}
	if total == 0 {
		return 0
	}
	// The shares are taken before any of them changes.
	share := map[string]float64{}
	for p, runs := range c.active {
		share[p] = runs.runs * c.rate(p, service) / total
	}
	for p, n := range share {
		if m := c.byRoute[p]; m != nil {
			m.byService[service] += n
		}
	}
	return min(max(retries/total, 0), 1)
}

// expected is what one run of a path calls, by service; what is under one in a
// hundred is taken for an error of the measure.
func (c *callRates) expected(route string, retryShare float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.byRoute[route]
	if made == nil || retryShare == 0 {
		return nil
	}
	var out map[string]float64
	for s, n := range made.byService {
		if n >= made.runs/100 && n >= 1 {
			if out == nil {
				out = map[string]float64{}
			}
			out[s] = retryShare * n / made.runs
		}
	}
	return out
}

// beginRun notes a run at the own worker. A repeat runs only if the calls that it
// will make have room among the repeats of the services they go to.
func (x *Proxy) beginRun(attempt *ownerAttempt) (exhausted string, ok bool) {
	if attempt.retryShare = attempt.req.NestedRetryShare; attempt.req.Retry {
		attempt.retryShare = 1
	}
	if attempt.req.NeedsRetryBudget && !x.retryBudget.Allow(attempt.req.Service) {
		return attempt.req.Service, false
	}
	calls := x.callRates.expected(attempt.req.Route, attempt.retryShare)
	// One that is only called by a repeat isn't refused, or the work of that one
	// would be lost; its room is held all the same, before that of others.
	if exhausted, ok = x.retryBudget.ReserveNested(calls, !attempt.req.Retry); !ok {
		return exhausted, false
	}
	attempt.started, attempt.reservedCalls = true, calls
	x.callRates.beginRun(attempt.req.Route, attempt.retryShare)
	return "", true
}

// endRun gives back what a run held.
func (x *Proxy) endRun(attempt *ownerAttempt) {
	if attempt.started {
		x.callRates.endRun(attempt.req.Route, attempt.retryShare, attempt.result.Outcome != protocol.Refused)
		x.retryBudget.ReleaseNested(attempt.reservedCalls)
	}
}
