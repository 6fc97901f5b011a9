package ormap

// Digests returns a digest of the live entries of each range. Tombstones are not included:
// replicas collect them at different times, and a dot that is live here and tombstoned
// elsewhere already changes the digest.
func (m *Map) Digests() []uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]uint64(nil), m.digests[:]...)
}

// CombineDigests combines the digests of all ranges into one.
func CombineDigests(digests []uint64) uint64 {
	var combined uint64
	for i, digest := range digests {
		combined ^= digest * uint64(2*i+1)
	}
	return combined
}

// RangeDelta returns all entries and tombstones of the given ranges.
func (m *Map) RangeDelta(ranges []int) Delta {
	want := map[int]bool{}
	for _, r := range ranges {
		want[r] = true
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	var d Delta
	for dot, e := range m.live {
		if want[rangeIndex(hash(dot))] {
			d.Adds = append(d.Adds, *e)
		}
	}
	for dot := range m.tombstones {
		if want[rangeIndex(hash(dot))] {
			d.Tombstones = append(d.Tombstones, m.tombstone(dot))
		}
	}
	return d
}

// All returns the full state.
func (m *Map) All() Delta {
	ranges := make([]int, Ranges)
	for i := range ranges {
		ranges[i] = i
	}
	return m.RangeDelta(ranges)
}

// Hashes returns the hashes of the live dots of the given ranges.
func (m *Map) Hashes(ranges []int) []uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var hashes []uint64
	for _, r := range ranges {
		if r < 0 || r >= Ranges {
			continue
		}
		for h := range m.liveByRange[r] {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// Compare compares the live dots of some ranges with those of another replica. want holds
// the hashes unknown here. give holds the entries that the other replica lacks, and the
// tombstones of its entries that are removed here.
func (m *Map) Compare(ranges []int, remoteHashes []uint64) (want []uint64, give Delta) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	remote := make(map[uint64]bool, len(remoteHashes))
	for _, h := range remoteHashes {
		remote[h] = true
	}
	for _, h := range remoteHashes {
		if _, ok := m.liveByRange[rangeIndex(h)][h]; ok {
			continue
		}
		if d, ok := m.tombstonedHashes[h]; ok {
			give.Tombstones = append(give.Tombstones, m.tombstone(d))
		} else {
			want = append(want, h)
		}
	}
	for _, r := range ranges {
		if r < 0 || r >= Ranges {
			continue
		}
		for h, e := range m.liveByRange[r] {
			if !remote[h] {
				give.Adds = append(give.Adds, *e)
			}
		}
	}
	return want, give
}

// Knows reports whether the dot with a hash is live or tombstoned here.
func (m *Map) Knows(hash uint64) (live, dead bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, live = m.liveByRange[rangeIndex(hash)][hash]
	_, dead = m.tombstonedHashes[hash]
	return live, dead
}

// Answer returns the entries with the wanted hashes, and the tombstones of given entries
// that are removed here.
func (m *Map) Answer(want []uint64, given []Entry) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out Delta
	for _, h := range want {
		if e, ok := m.liveByRange[rangeIndex(h)][h]; ok {
			out.Adds = append(out.Adds, *e)
			continue
		}
		// It may have been removed since its hash was sent.
		if d, ok := m.tombstonedHashes[h]; ok {
			out.Tombstones = append(out.Tombstones, m.tombstone(d))
		}
	}
	for _, e := range given {
		if _, ok := m.tombstones[e.Dot]; ok {
			out.Tombstones = append(out.Tombstones, m.tombstone(e.Dot))
		}
	}
	return out
}
