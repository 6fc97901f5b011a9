package proxy

import (
	"sync"

	"puffincrank/internal/protocol"
)

// callRates measures which calls the runs at the local worker make: for each route, the mean
// number of calls per run to each service. A call does not say which run it belongs to. Only
// routes that owners have found to be nested are considered, and each call is credited to the
// active runs in proportion to what their routes are known to call. This converges to the most
// likely means, since calls that a run does not make also occur while it is not active.
type callRates struct {
	mu      sync.Mutex
	nested  map[string]bool        // routes called by other requests, as their owners report
	byRoute map[string]*routeCalls // route of the local worker's runs to their calls
	active  map[string]*activeRuns // the runs in progress, by route
}

type routeCalls struct {
	runs      float64
	byService map[string]float64 // service to number of calls
}

// activeRuns counts the runs of one route in progress, and the sum of their shares that count
// as retries.
type activeRuns struct{ runs, retryShares float64 }

func newCallRates() *callRates {
	return &callRates{nested: map[string]bool{}, byRoute: map[string]*routeCalls{}, active: map[string]*activeRuns{}}
}

// markNested records that a route is called by other requests.
func (c *callRates) markNested(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nested[route] && len(c.nested) >= 1024 {
		clear(c.nested)
	}
	c.nested[route] = true
}

// beginRun and endRun bracket a run; retryShare is how far it counts as a retry.
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
		// Routes of older configurations must not accumulate.
		if len(c.byRoute) >= 1024 {
			clear(c.byRoute)
		}
		made = &routeCalls{byService: map[string]float64{}}
		c.byRoute[route] = made
	}
	// Old figures decay, so that a change shows after a while.
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
	// A run that the worker declined made no calls.
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

// rate estimates the calls to a service per run of a route; a run that was never seen to call
// it may still do so.
func (c *callRates) rate(route, service string) float64 {
	made := c.byRoute[route]
	if made == nil {
		return 0.5
	}
	return (made.byService[service] + 0.5) / (made.runs + 1)
}

// recordCall records a call to a service and returns how far it is the call of a retried run.
func (c *callRates) recordCall(route, service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nested[route] {
		return 0
	}
	total, retries := 0.0, 0.0
	for caller, running := range c.active {
		rate := c.rate(caller, service)
		total, retries = total+running.runs*rate, retries+running.retryShares*rate
	}
	if total == 0 {
		return 0
	}
	// The shares are computed before any of the rates changes.
	share := map[string]float64{}
	for caller, running := range c.active {
		share[caller] = running.runs * c.rate(caller, service) / total
	}
	for caller, n := range share {
		if made := c.byRoute[caller]; made != nil {
			made.byService[service] += n
		}
	}
	return min(max(retries/total, 0), 1)
}

// expected gives the calls that one run of a route makes, by service; less than one call per
// hundred runs is taken for a measurement error.
func (c *callRates) expected(route string, retryShare float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.byRoute[route]
	if made == nil || retryShare == 0 {
		return nil
	}
	var out map[string]float64
	for service, n := range made.byService {
		if n >= made.runs/100 && n >= 1 {
			if out == nil {
				out = map[string]float64{}
			}
			out[service] = retryShare * n / made.runs
		}
	}
	return out
}

// beginRun records a run at the local worker. A retry runs only if the retry budgets of the
// services that it will call have room for its calls.
func (x *Proxy) beginRun(attempt *ownerAttempt) (exhausted string, ok bool) {
	if attempt.retryShare = attempt.req.NestedRetryShare; attempt.req.Retry {
		attempt.retryShare = 1
	}
	if attempt.req.NeedsRetryBudget && !x.retryBudget.Allow(attempt.req.Service) {
		return attempt.req.Service, false
	}
	calls := x.callRates.expected(attempt.req.Route, attempt.retryShare)
	// A run that is only called by a retry is not refused, or the work of that retry would be
	// lost. Its calls are reserved all the same, ahead of those of others.
	if exhausted, ok = x.retryBudget.ReserveNested(calls, !attempt.req.Retry); !ok {
		return exhausted, false
	}
	attempt.started, attempt.reservedCalls = true, calls
	x.callRates.beginRun(attempt.req.Route, attempt.retryShare)
	return "", true
}

// endRun releases what a run reserved.
func (x *Proxy) endRun(attempt *ownerAttempt) {
	if attempt.started {
		x.callRates.endRun(attempt.req.Route, attempt.retryShare, attempt.result.Outcome != protocol.Refused)
		x.retryBudget.ReleaseNested(attempt.reservedCalls)
	}
}
