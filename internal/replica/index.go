package replica

import (
	"slices"

	"puffincrank/internal/ormap"
)

// updateIndex updates the index of entries by service. The cost of a change depends
// only on the number of entries of its own service. Slices are replaced and never
// modified, so that lookups can return them without a copy. The caller holds mu.
func (r *Replica) updateIndex(added, removed []ormap.Entry) {
	for _, e := range removed {
		old := r.index[e.Service]
		list := make([]ormap.Entry, 0, len(old))
		for _, other := range old {
			if other.Dot != e.Dot {
				list = append(list, other)
			}
		}
		if len(list) == 0 {
			delete(r.index, e.Service)
		} else {
			r.index[e.Service] = r.entries.SharedList(e.Service, list)
		}
	}
	for _, e := range added {
		old := r.index[e.Service]
		position, _ := slices.BinarySearchFunc(old, e, func(a, b ormap.Entry) int { return a.Dot.Compare(b.Dot) })
		list := make([]ormap.Entry, 0, len(old)+1)
		list = append(append(append(list, old[:position]...), e), old[position:]...)
		r.index[e.Service] = r.entries.SharedList(e.Service, list)
	}
}

// entriesOfService returns the entries of a service in the order of their dots. The
// caller must not modify the slice.
func (r *Replica) entriesOfService(service string) []ormap.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index[service]
}
