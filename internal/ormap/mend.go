package ormap

// Digests sums up the live entries of each range. Tombstones are left out:
// they are dropped at different times, and a live dot that is dead elsewhere
// shows in the live part anyway.
func (m *Map) Digests() []uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]uint64(nil), m.sum[:]...)
}

// CombineDigests folds digests into one.
func CombineDigests(all []uint64) uint64 {
	var t uint64
	for i, d := range all {
		t ^= d * uint64(2*i+1)
	}
	return t
}

// RangeDelta gives the given ranges whole, tombstones too.
func (m *Map) RangeDelta(ranges []int) Delta {
	want := map[int]bool{}
	for _, r := range ranges {
		want[r] = true
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	var d Delta
	for dot, e := range m.live {
		if want[bucket(hash(dot))] {
			d.Adds = append(d.Adds, *e)
		}
	}
	for dot := range m.dead {
		if want[bucket(hash(dot))] {
			d.Tombstones = append(d.Tombstones, m.grave(dot))
		}
	}
	return d
}

// All gives the whole replica.
func (m *Map) All() Delta {
	all := make([]int, Ranges)
	for i := range all {
		all[i] = i
	}
	return m.RangeDelta(all)
}

// Hashes names the live dots of the given ranges.
func (m *Map) Hashes(ranges []int) []uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []uint64
	for _, r := range ranges {
		if r < 0 || r >= Ranges {
			continue
		}
		for h := range m.in[r] {
			out = append(out, h)
		}
	}
	return out
}

// Compare sets the live dots of some ranges against another replica's: want is
// what that has and this one doesn't know, give is what it lacks, and the
// graves of what it has and here is dead.
func (m *Map) Compare(ranges []int, theirs []uint64) (want []uint64, give Delta) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	has := make(map[uint64]bool, len(theirs))
	for _, h := range theirs {
		has[h] = true
	}
	for _, h := range theirs {
		if _, ok := m.in[bucket(h)][h]; ok {
			continue
		}
		if d, ok := m.tomb[h]; ok {
			give.Tombstones = append(give.Tombstones, m.grave(d))
		} else {
			want = append(want, h)
		}
	}
	for _, r := range ranges {
		if r < 0 || r >= Ranges {
			continue
		}
		for h, e := range m.in[r] {
			if !has[h] {
				give.Adds = append(give.Adds, *e)
			}
		}
	}
	return want, give
}

// Knows tells whether a dot of that hash is live or dead here.
func (m *Map) Knows(h uint64) (live, dead bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, live = m.in[bucket(h)][h]
	_, dead = m.tomb[h]
	return live, dead
}

// Answer gives the wanted entries, and the graves of those given that are dead
// here.
func (m *Map) Answer(want []uint64, given []Entry) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out Delta
	for _, h := range want {
		if e, ok := m.in[bucket(h)][h]; ok {
			out.Adds = append(out.Adds, *e)
			continue
		}
		// It may have died since its hash was named.
		if d, ok := m.tomb[h]; ok {
			out.Tombstones = append(out.Tombstones, m.grave(d))
		}
	}
	for _, e := range given {
		if _, ok := m.dead[e.Dot]; ok {
			out.Tombstones = append(out.Tombstones, m.grave(e.Dot))
		}
	}
	return out
}
