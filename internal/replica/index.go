package replica

import (
	"slices"

	"puffincrank/internal/ormap"
)

// updateIndex keeps the index of services as entries come and go: what a change
// costs is the length of its own service's list, whatever else there is. The
// slices are replaced, never changed, so that lookups hand them out as they
// are. mu is held.
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

// entriesOfService gives the entries of a service, by their dots; not to be changed.
func (r *Replica) entriesOfService(service string) []ormap.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index[service]
}
