package proxy

import (
	"sync"

	"puffincrank/internal/transport"
)

// kin tells which paths are called from within, by jobs that hold a slot
// elsewhere. Nothing in a job says so, but who calls does: callers from outside
// come in at every node, whatever its service, and the calls of a service's own
// jobs only at the nodes of that service. A job from within that is turned away
// costs the work that was done for it already.
type kin struct {
	mu    sync.Mutex
	paths map[string]*blood
	all   map[string]float64 // callers of anything, smoothed
	sum   float64

	within map[string]bool             // paths that owners say are called from within
	under  [transport.LaneBulk + 1]int // jobs at the own worker, by the lane that they came by
}

// blood counts one path's callers by their service, smoothed.
type blood struct {
	by  map[string]float64
	sum float64
}

// enough is how many jobs of a path say which services do not call it: one that
// has a twelfth of the nodes is missing by chance once in seventy thousand times.
const enough = 128

func newKin() *kin {
	return &kin{paths: map[string]*blood{}, all: map[string]float64{}, within: map[string]bool{}}
}

// fade adds one and lets old counts fade, so that a change shows after a while.
func fade(by map[string]float64, sum *float64, who string) {
	by[who]++
	if *sum++; *sum > 16*enough {
		for k := range by {
			by[k] /= 2
		}
		*sum /= 2
	}
}

// meet notes that a job of a path came from a caller's service.
func (k *kin) meet(path, caller string) {
	if caller == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.paths[path]
	if b == nil {
		// Paths of older configurations must not pile up.
		if len(k.paths) >= 1024 {
			clear(k.paths)
		}
		b = &blood{by: map[string]float64{}}
		k.paths[path] = b
	}
	fade(b.by, &b.sum, caller)
	fade(k.all, &k.sum, caller)
}

// inner tells whether a path's jobs are calls of other jobs: some service that
// calls here does not call it.
func (k *kin) inner(path string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.paths[path]
	if b == nil || b.sum < enough {
		return false
	}
	for who, n := range k.all {
		// Those that call seldom at all say nothing by not calling this.
		if n >= k.sum/16 && b.by[who] < b.sum/256 {
			return true
		}
	}
	return false
}
