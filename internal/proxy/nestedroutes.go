package proxy

import (
	"sync"

	"puffincrank/internal/transport"
)

// nestedRoutes detects which routes are called by other requests, which hold a slot elsewhere.
// A request does not say so, but the caller's service shows it: callers from outside enter at
// all nodes, whatever their service, while the calls of a service's own requests enter only at
// the nodes of that service. Refusing a nested request wastes the work already done for it.
type nestedRoutes struct {
	mu              sync.Mutex
	callers         map[string]*callerCounts
	allCallers      map[string]float64 // of all routes, decaying
	allCallersTotal float64

	nestedAtOwner map[string]bool             // routes that owners report as nested
	runsByLane    [transport.LaneBulk + 1]int // requests at the local worker, by the lane they arrived on
}

// callerCounts counts the callers of one route by service, with decay.
type callerCounts struct {
	byService map[string]float64
	total     float64
}

// minSamples is how many requests of a route are needed to say which services do not call it: a
// service with a twelfth of the nodes is missing by chance once in 70,000 cases.
const minSamples = 128

func newNestedRoutes() *nestedRoutes {
	return &nestedRoutes{callers: map[string]*callerCounts{}, allCallers: map[string]float64{}, nestedAtOwner: map[string]bool{}}
}

// addDecaying counts one caller and halves old counts at intervals, so that a change shows
// after a while.
func addDecaying(counts map[string]float64, total *float64, service string) {
	counts[service]++
	if *total++; *total > 16*minSamples {
		for k := range counts {
			counts[k] /= 2
		}
		*total /= 2
	}
}

// recordCaller records that a request of a route came from a service.
func (k *nestedRoutes) recordCaller(route, caller string) {
	if caller == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.callers[route]
	if counts == nil {
		// Routes of older configurations must not accumulate.
		if len(k.callers) >= 1024 {
			clear(k.callers)
		}
		counts = &callerCounts{byService: map[string]float64{}}
		k.callers[route] = counts
	}
	addDecaying(counts.byService, &counts.total, caller)
	addDecaying(k.allCallers, &k.allCallersTotal, caller)
}

// isNested tells whether a route is called by other requests: some service that sends requests
// here does not call it.
func (k *nestedRoutes) isNested(route string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.callers[route]
	if counts == nil || counts.total < minSamples {
		return false
	}
	for service, n := range k.allCallers {
		// Services that rarely call anything say nothing by not calling this route.
		if n >= k.allCallersTotal/16 && counts.byService[service] < counts.total/256 {
			return true
		}
	}
	return false
}
