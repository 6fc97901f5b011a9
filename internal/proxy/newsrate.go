package proxy

import (
	"sync"
	"time"
)

// How often changes of workers' fitness may be told in the whole mesh, each second
// on average and, where a node tells none for long, at once. Each costs every node
// a message and a merge, about 0.3 ms: 16 a second are half a percent of a core.
const (
	fitnessNewsPerSecond = 16
	fitnessNewsAtOnce    = 960
)

// A node may tell at least that a worker became unfit and fit again, and no more at
// once than a worker needs that becomes unfit in steps, twice.
const (
	leastNewsAtOnce = 2
	mostNewsAtOnce  = 6
)

// newsRate bounds how often a node tells the mesh something that changes by
// itself and may be told late. It is a token bucket that fills the slower the more
// nodes there are, so that the sum over all nodes does not grow with the mesh.
type newsRate struct {
	mu     sync.Mutex
	nodes  int
	tokens float64
	filled time.Time
}

func newNewsRate(now time.Time) *newsRate {
	return &newsRate{nodes: 1, tokens: mostNewsAtOnce, filled: now}
}

// Nodes sets how many nodes share the mesh's rate.
func (r *newsRate) Nodes(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = max(count, 1)
}

// Take tells whether news may be told now, and counts it if so. What may not be
// told is offered again by the next request or beat, as it is then.
func (r *newsRate) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond := float64(fitnessNewsPerSecond) / float64(r.nodes)
	grown := now.Sub(r.filled).Seconds() * perSecond
	r.tokens = min(r.tokens+max(grown, 0), newsAtOnce(r.nodes))
	r.filled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// newsAtOnce is how many news a node of so many may tell at once.
func newsAtOnce(nodes int) float64 {
	part := float64(fitnessNewsAtOnce) / float64(nodes)
	return min(max(part, leastNewsAtOnce), mostNewsAtOnce)
}
