package proxy

import (
	"sync"

	"puffincrank/internal/transport"
)

// nestedRoutes tells which paths are called from within, by jobs that hold a slot
// elsewhere. Nothing in a job says so, but who calls does: callers from outside
// come in at every node, whatever its service, and the calls of a service's own
// jobs only at the nodes of that service. A job from within that is turned away
// costs the work that was done for it already.
type nestedRoutes struct {
	mu              sync.Mutex
	callers         map[string]*callerCounts
	allCallers      map[string]float64 // callers of anything, smoothed
	allCallersTotal float64

	nestedAtOwner map[string]bool             // paths that owners say are called from within
	runsByLane    [transport.LaneBulk + 1]int // jobs at the own worker, by the lane that they came by
}

// callerCounts counts one path's callers by their service, smoothed.
type callerCounts struct {
	byService map[string]float64
	total     float64
}

// minSamples is how many jobs of a path say which services do not call it: one that
// has a twelfth of the nodes is missing by chance once in seventy thousand times.
const minSamples = 128

func newNestedRoutes() *nestedRoutes {
	return &nestedRoutes{callers: map[string]*callerCounts{}, allCallers: map[string]float64{}, nestedAtOwner: map[string]bool{}}
}

// addDecaying adds one and lets old counts fade, so that a change shows after a while.
func addDecaying(counts map[string]float64, total *float64, service string) {
	counts[service]++
	if *total++; *total > 16*minSamples {
		for k := range counts {
			counts[k] /= 2
		}
		*total /= 2
	}
}

// recordCaller notes that a job of a path came from a caller's service.
func (k *nestedRoutes) recordCaller(route, caller string) {
	if caller == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.callers[route]
	if counts == nil {
		// Paths of older configurations must not pile up.
		if len(k.callers) >= 1024 {
			clear(k.callers)
		}
		counts = &callerCounts{byService: map[string]float64{}}
		k.callers[route] = counts
	}
	addDecaying(counts.byService, &counts.total, caller)
	addDecaying(k.allCallers, &k.allCallersTotal, caller)
}

// isNested tells whether a path's jobs are calls of other jobs: some service that
// calls here does not call it.
func (k *nestedRoutes) isNested(route string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.callers[route]
	if counts == nil || counts.total < minSamples {
		return false
	}
	for service, n := range k.allCallers {
		// Those that call seldom at all say nothing by not calling this.
		if n >= k.allCallersTotal/16 && counts.byService[service] < counts.total/256 {
			return true
		}
	}
	return false
}
