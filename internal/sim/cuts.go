package sim

import (
	"cmp"
	"slices"
	"time"
)

// Cut stops or opens the way from one host to another, one way only.
func (n *Net) Cut(from, to string, on bool) {
	n.mu.Lock()
	way := [2]string{from, to}
	if !on {
		delete(n.cut, way)
	} else if n.cut[way].IsZero() {
		n.cut[way] = time.Now()
	}
	close(n.turn)
	n.turn = make(chan struct{})
	n.mu.Unlock()
}

// Isolate cuts a host off from all the others, or joins it again.
func (n *Net) Isolate(h string, on bool) {
	n.mu.Lock()
	var all []string
	for o := range n.areas {
		if o != h {
			all = append(all, o)
		}
	}
	n.mu.Unlock()
	n.Part(h, all, on)
}

// Part cuts a host off from some others both ways, or joins them again. All is
// done in one turn: each one wakes all who wait to read.
func (n *Net) Part(h string, others []string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range others {
		for _, way := range [][2]string{{h, o}, {o, h}} {
			if !on {
				delete(n.cut, way)
			} else if n.cut[way].IsZero() {
				n.cut[way] = time.Now()
			}
		}
	}
	close(n.turn)
	n.turn = make(chan struct{})
}

func (n *Net) open(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}].IsZero()
}

// cutAt tells since when nothing arrives: the time of the cut, or now.
func (n *Net) cutAt(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := n.cut[[2]string{from, to}]; !at.IsZero() {
		return at
	}
	return time.Now()
}

// Reset breaks a part of the connections of a host to others, both ways at once.
func (n *Net) Reset(h string, part float64) {
	n.mu.Lock()
	var ends []*pipe
	for p := range n.ends {
		if p.from == h && p.to != h || p.to == h && p.from != h {
			ends = append(ends, p)
		}
	}
	n.mu.Unlock()
	// In an order that the seed alone gives; each connection has two ends.
	slices.SortFunc(ends, func(a, b *pipe) int { return cmp.Compare(a.far, b.far) })
	n.mu.Lock()
	var pick []*pipe
	for _, p := range ends {
		if n.rnd.Float64() < part/2 {
			pick = append(pick, p)
		}
	}
	n.mu.Unlock()
	for _, p := range pick {
		p.reset()
	}
}
