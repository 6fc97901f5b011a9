package membership

// Diff is what changed between two states of a list.
type Diff struct {
	Added   []Member
	Removed []string
}

// change is one change of a list.
type change struct {
	fromHash uint64
	node     string
	member   *Member // nil: gone
}

// History keeps the newest changes of a list, to tell what differs since a hash.
type History struct {
	limit      int
	base       uint64 // the number of the first step kept
	changes    []change
	latestFrom map[uint64]uint64 // hash to the newest step that began there
}

// NewHistory makes a log of at most most changes.
func NewHistory(limit int) *History { return &History{limit: limit, latestFrom: map[uint64]uint64{}} }

func (l *History) record(fromHash uint64, node string, member *Member) {
	l.latestFrom[fromHash] = l.base + uint64(len(l.changes))
	l.changes = append(l.changes, change{fromHash, node, member})
	// Cut in halves, so that the copy is rare.
	if len(l.changes) > 2*l.limit {
		for i, s := range l.changes[:l.limit] {
			if l.latestFrom[s.fromHash] == l.base+uint64(i) {
				delete(l.latestFrom, s.fromHash)
			}
		}
		l.base += uint64(l.limit)
		l.changes = append([]change(nil), l.changes[l.limit:]...)
	}
}

// Since gives what differs between the list with a hash and the newest; false
// when that hash isn't in the log.
func (l *History) Since(hash uint64) (Diff, bool) {
	first, ok := l.latestFrom[hash]
	if !ok {
		return Diff{}, false
	}
	latest := map[string]*Member{}
	var order []string
	for _, s := range l.changes[first-l.base:] {
		if _, ok := latest[s.node]; !ok {
			order = append(order, s.node)
		}
		latest[s.node] = s.member
	}
	var d Diff
	for _, n := range order {
		if member := latest[n]; member != nil {
			d.Added = append(d.Added, *member)
		} else {
			d.Removed = append(d.Removed, n)
		}
	}
	return d, true
}
