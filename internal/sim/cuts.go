package sim

import (
	"cmp"
	"slices"
	"time"
)

// Cut stops or opens the way from one host to another, one way only.
func (n *Net) Cut(from, to string, on bool) {
	n.mu.Lock()
	direction := [2]string{from, to}
	if !on {
		delete(n.cuts, direction)
	} else if n.cuts[direction].IsZero() {
		n.cuts[direction] = time.Now()
	}
	close(n.linksChanged)
	n.linksChanged = make(chan struct{})
	n.mu.Unlock()
}

// Isolate cuts a host off from all the others, or joins it again.
func (n *Net) Isolate(hostName string, on bool) {
	n.mu.Lock()
	var others []string
	for other := range n.areas {
		if other != hostName {
			others = append(others, other)
		}
	}
	n.mu.Unlock()
	n.Part(hostName, others, on)
}

// Part cuts a host off from some others both ways, or joins them again. All is
// done in one turn: each one wakes all who wait to read.
func (n *Net) Part(hostName string, others []string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range others {
		for _, direction := range [][2]string{{hostName, other}, {other, hostName}} {
			if !on {
				delete(n.cuts, direction)
			} else if n.cuts[direction].IsZero() {
				n.cuts[direction] = time.Now()
			}
		}
	}
	close(n.linksChanged)
	n.linksChanged = make(chan struct{})
}

func (n *Net) isOpen(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}].IsZero()
}

// cutSince tells since when nothing arrives: the time of the cut, or now.
func (n *Net) cutSince(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if since := n.cuts[[2]string{from, to}]; !since.IsZero() {
		return since
	}
	return time.Now()
}

// Reset breaks a part of the connections of a host to others, both ways at once.
func (n *Net) Reset(hostName string, fraction float64) {
	n.mu.Lock()
	var ends []*pipe
	for p := range n.conns {
		if p.from == hostName && p.peer != hostName || p.peer == hostName && p.from != hostName {
			ends = append(ends, p)
		}
	}
	n.mu.Unlock()
	// In an order that the seed alone gives; each connection has two ends.
	slices.SortFunc(ends, func(a, b *pipe) int { return cmp.Compare(a.remoteAddr, b.remoteAddr) })
	n.mu.Lock()
	var picked []*pipe
	for _, p := range ends {
		if n.rnd.Float64() < fraction/2 {
			picked = append(picked, p)
		}
	}
	n.mu.Unlock()
	for _, p := range picked {
		p.reset()
	}
}
