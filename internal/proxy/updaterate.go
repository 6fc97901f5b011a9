package proxy

import (
	"sync"
	"time"
)

// Rate of published health changes in the whole mesh, per second on average and as a burst
// after a quiet time. Each update costs every node a message and a merge, about 0.3 ms: 16 per
// second are half a percent of a core.
const (
	healthUpdatesPerSecond = 16
	healthUpdateBurst      = 960
)

// Limits of one node's burst. The minimum allows one change to unhealthy and back; the maximum
// covers twice the updates of a worker that becomes unhealthy in steps.
const (
	minUpdateBurst = 2
	maxUpdateBurst = 6
)

// updateRate bounds how often a node publishes something that changes on its own and may be
// published late. It is a token bucket that fills more slowly the more nodes there are, so that
// the sum over all nodes does not grow with the mesh.
type updateRate struct {
	mu     sync.Mutex
	nodes  int
	tokens float64
	filled time.Time
}

func newUpdateRate(now time.Time) *updateRate {
	return &updateRate{nodes: 1, tokens: maxUpdateBurst, filled: now}
}

// SetNodes sets how many nodes share the mesh's rate.
func (r *updateRate) SetNodes(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = max(count, 1)
}

// Take tells whether an update may be published now, and counts it if so. A suppressed update
// is offered again at the next request or heartbeat, with the values of that time.
func (r *updateRate) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond := float64(healthUpdatesPerSecond) / float64(r.nodes)
	refill := now.Sub(r.filled).Seconds() * perSecond
	r.tokens = min(r.tokens+max(refill, 0), updateBurst(r.nodes))
	r.filled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// updateBurst is how many updates one node may publish at once.
func updateBurst(nodes int) float64 {
	share := float64(healthUpdateBurst) / float64(nodes)
	return min(max(share, minUpdateBurst), maxUpdateBurst)
}
