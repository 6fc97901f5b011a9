package ormap

import "slices"

// tombstone returns the tombstone of a dot. The caller holds mu.
func (m *Map) tombstone(d Dot) Tombstone {
	record := m.tombstones[d]
	return Tombstone{Dot: d, Reason: record.reason, Worker: record.worker}
}

// forgetDeparture drops a dot whose tombstone marked a worker as gone for good. The caller
// holds mu.
func (m *Map) forgetDeparture(worker string, d Dot) {
	if worker == "" {
		return
	}
	remaining := slices.DeleteFunc(m.departed[worker], func(other Dot) bool { return other == d })
	if len(remaining) == 0 {
		delete(m.departed, worker)
		return
	}
	m.departed[worker] = remaining
}

// Departed reports whether a worker is known to be gone for good: it signed off, or
// another worker took its address. This is forgotten when the tombstones are collected.
func (m *Map) Departed(worker string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.departed[worker]) > 0
}

// Departures returns the tombstones that mark a worker as gone for good, or those of all
// workers for "".
func (m *Map) Departures(worker string) []Tombstone {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []Tombstone
	for name, dots := range m.departed {
		if worker != "" && name != worker {
			continue
		}
		for _, d := range dots {
			out = append(out, m.tombstone(d))
		}
	}
	slices.SortFunc(out, func(a, b Tombstone) int { return a.Dot.Compare(b.Dot) })
	return out
}

// DepartureDelta returns the delta that removes the observed entries of a worker that pick
// selects, and marks the worker as gone for good.
func (m *Map) DepartureDelta(worker, reason string, pick func(Entry) bool) Delta {
	d := m.RemovalDelta(reason, func(e Entry) bool { return e.Worker == worker && pick(e) })
	for i := range d.Tombstones {
		d.Tombstones[i].Worker = worker
	}
	return d
}
