package membership

// Diff is the difference between two lists.
type Diff struct {
	Added   []Member
	Removed []string
}

// change is the change of one member.
type change struct {
	fromHash uint64
	node     string
	member   *Member // nil: removed
}

// History keeps the latest changes of a list, so that the difference from an earlier list
// can be computed from its hash.
type History struct {
	limit      int
	base       uint64 // number of the first change kept
	changes    []change
	latestFrom map[uint64]uint64 // hash to the number of the latest change of a list with that hash
}

// NewHistory creates a history that keeps at least the last limit changes, and at most
// twice as many.
func NewHistory(limit int) *History { return &History{limit: limit, latestFrom: map[uint64]uint64{}} }

// record appends the change of one member of the list with hash fromHash.
func (h *History) record(fromHash uint64, node string, member *Member) {
	h.latestFrom[fromHash] = h.base + uint64(len(h.changes))
	h.changes = append(h.changes, change{fromHash, node, member})
	// Drop half at a time, so that copies are rare.
	if len(h.changes) > 2*h.limit {
		for i, dropped := range h.changes[:h.limit] {
			if h.latestFrom[dropped.fromHash] == h.base+uint64(i) {
				delete(h.latestFrom, dropped.fromHash)
			}
		}
		h.base += uint64(h.limit)
		h.changes = append([]change(nil), h.changes[h.limit:]...)
	}
}

// Since returns the difference between the list with a hash and the current one. It
// returns false if the history does not contain that hash.
func (h *History) Since(hash uint64) (Diff, bool) {
	first, ok := h.latestFrom[hash]
	if !ok {
		return Diff{}, false
	}
	latest := map[string]*Member{}
	var order []string
	for _, change := range h.changes[first-h.base:] {
		if _, ok := latest[change.node]; !ok {
			order = append(order, change.node)
		}
		latest[change.node] = change.member
	}
	var diff Diff
	for _, node := range order {
		if member := latest[node]; member != nil {
			diff.Added = append(diff.Added, *member)
		} else {
			diff.Removed = append(diff.Removed, node)
		}
	}
	return diff, true
}
