package ormap

import "slices"

// grave gives the tombstone of a dead dot. mu is held.
func (m *Map) grave(d Dot) Tombstone {
	g := m.dead[d]
	return Tombstone{Dot: d, Reason: g.why, Worker: g.worker}
}

// forget drops one dot that told that a worker is gone for good. mu is held.
func (m *Map) forget(worker string, d Dot) {
	if worker == "" {
		return
	}
	left := slices.DeleteFunc(m.gone[worker], func(o Dot) bool { return o == d })
	if len(left) == 0 {
		delete(m.gone, worker)
		return
	}
	m.gone[worker] = left
}

// Departed tells whether a worker is known to be gone for good: it signed off, or
// another has its address. That is forgotten with the tombstones.
func (m *Map) Departed(worker string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.gone[worker]) > 0
}

// Departures gives the tombstones that tell of workers that are gone for good, of
// one worker or of all for "".
func (m *Map) Departures(worker string) []Tombstone {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []Tombstone
	for name, dots := range m.gone {
		if worker != "" && name != worker {
			continue
		}
		for _, d := range dots {
			out = append(out, m.grave(d))
		}
	}
	slices.SortFunc(out, func(a, b Tombstone) int { return a.Dot.Compare(b.Dot) })
	return out
}

// DepartureDelta makes the delta that removes the observed entries of a worker that pick
// selects, and tells that the worker is gone for good.
func (m *Map) DepartureDelta(worker, why string, pick func(Entry) bool) Delta {
	d := m.RemovalDelta(why, func(e Entry) bool { return e.Worker == worker && pick(e) })
	for i := range d.Tombstones {
		d.Tombstones[i].Worker = worker
	}
	return d
}
