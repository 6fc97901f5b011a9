package sim

import (
	"cmp"
	"slices"
	"time"
)

// Cut blocks or unblocks traffic from one host to another, in that direction only.
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

// Isolate blocks or unblocks all traffic between a host and every other host.
func (n *Net) Isolate(hostName string, on bool) {
	n.mu.Lock()
	var others []string
	for other := range n.zones {
		if other != hostName {
			others = append(others, other)
		}
	}
	n.mu.Unlock()
	n.Partition(hostName, others, on)
}

// Partition blocks or unblocks traffic between a host and several others, in both directions.
// All directions change together, because each change wakes every blocked reader.
func (n *Net) Partition(hostName string, others []string, on bool) {
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

// cutSince returns the time from which nothing arrives: that of the cut, or now if there is
// none.
func (n *Net) cutSince(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if since := n.cuts[[2]string{from, to}]; !since.IsZero() {
		return since
	}
	return time.Now()
}

// Reset resets a random fraction of the connections between a host and others, both
// directions at once.
func (n *Net) Reset(hostName string, fraction float64) {
	n.mu.Lock()
	var ends []*pipe
	for p := range n.conns {
		if p.from == hostName && p.peer != hostName || p.peer == hostName && p.from != hostName {
			ends = append(ends, p)
		}
	}
	n.mu.Unlock()
	// Sorted so that the choice depends on the seed alone. Each connection has two ends,
	// and either end that is picked resets it.
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
