package ormap

import (
	"slices"
	"time"
)

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

// DepartureDelta returns the delta that marks a worker as gone for good and removes its observed
// entries. Without any, the tombstone of an unused dot carries the mark.
func (m *Map) DepartureDelta(worker, reason string, unused func() Dot) Delta {
	d := m.RemovalDelta(reason, func(e Entry) bool { return e.Worker == worker })
	if len(d.Tombstones) == 0 && !m.Departed(worker) {
		d.Tombstones = []Tombstone{{Dot: unused(), Reason: reason}}
	}
	for i := range d.Tombstones {
		d.Tombstones[i].Worker = worker
	}
	return d
}

// DeparturesRecorded returns how many tombstones of workers that are gone for good this replica has
// recorded so far, collected ones included.
func (m *Map) DeparturesRecorded() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures
}

// recordTombstone enters a tombstone. The caller holds mu.
func (m *Map) recordTombstone(tombstone Tombstone, now time.Time) {
	m.tombstones[tombstone.Dot] = tombstoneRecord{tombstone.Reason, tombstone.Worker, now}
	m.tombstonedHashes[hash(tombstone.Dot)] = tombstone.Dot
	if tombstone.Worker != "" {
		m.departed[tombstone.Worker] = append(m.departed[tombstone.Worker], tombstone.Dot)
		m.departures++
	}
}

// departureOf returns the tombstone of an entry whose worker is gone for good, by the reason of the
// dot that says so. The caller holds mu.
func (m *Map) departureOf(e Entry, said Dot) Tombstone {
	return Tombstone{Dot: e.Dot, Reason: m.tombstones[said].reason, Worker: e.Worker}
}

// removeDeparted removes the live entries of workers that are gone for good. The caller holds mu.
func (m *Map) removeDeparted(now time.Time) (tombstones []Tombstone, removed []Entry) {
	for d, e := range m.live {
		dots := m.departed[e.Worker]
		if len(dots) == 0 {
			continue
		}
		tombstone := m.departureOf(*e, dots[0])
		m.recordTombstone(tombstone, now)
		m.remove(d)
		tombstones, removed = append(tombstones, tombstone), append(removed, *e)
	}
	return tombstones, removed
}

// DepartedWorkers returns the workers that are known to be gone for good.
func (m *Map) DepartedWorkers() map[string]bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	workers := make(map[string]bool, len(m.departed))
	for worker := range m.departed {
		workers[worker] = true
	}
	return workers
}
