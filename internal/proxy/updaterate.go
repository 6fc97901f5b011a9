package proxy

import (
	"sync"
	"time"
)

// How often changes of workers' fitness may be told in the whole mesh, each second
// on average and, where a node tells none for long, at once. Each costs every node
// a message and a merge, about 0.3 ms: 16 a second are half a percent of a core.
const (
	healthUpdatesPerSecond = 16
	healthUpdateBurst      = 960
)

// A node may tell at least that a worker became unfit and fit again, and no more at
// once than a worker needs that becomes unfit in steps, twice.
const (
	minUpdateBurst = 2
	maxUpdateBurst = 6
)

// updateRate bounds how often a node tells the mesh something that changes by
// itself and may be told late. It is a token bucket that fills the slower the more
// nodes there are, so that the sum over all nodes does not grow with the mesh.
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

// Take tells whether news may be told now, and counts it if so. What may not be
// told is offered again by the next request or beat, as it is then.
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

// updateBurst is how many news a node of so many may tell at once.
func updateBurst(nodes int) float64 {
	share := float64(healthUpdateBurst) / float64(nodes)
	return min(max(share, minUpdateBurst), maxUpdateBurst)
}
