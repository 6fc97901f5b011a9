package ormap

import "time"

// Collect drops the tombstones older than maxAge and returns their number.
func (m *Map) Collect(maxAge time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for d, record := range m.tombstones {
		if time.Since(record.recordedAt) > maxAge {
			delete(m.tombstones, d)
			delete(m.tombstonedHashes, hash(d))
			m.forgetDeparture(record.worker, d)
			count++
		}
	}
	return count
}

// Clear drops all entries but those that keep selects, and all tombstones but those of workers
// that are gone for good. A replica that was disconnected for longer than tombstones are kept must
// be refilled instead of merged.
func (m *Map) Clear(keep func(Entry) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for d, record := range m.tombstones {
		if record.worker == "" {
			delete(m.tombstones, d)
			delete(m.tombstonedHashes, hash(d))
		}
	}
	for d, e := range m.live {
		if !keep(*e) {
			m.remove(d)
		}
	}
}
