package membership

// Diff is what changed between two states of a list.
type Diff struct {
	Added   []Member
	Removed []string
}

// step is one change of a list.
type step struct {
	from uint64
	node string
	now  *Member // nil: gone
}

// History keeps the newest changes of a list, to tell what differs since a hash.
type History struct {
	most int
	base uint64 // the number of the first step kept
	all  []step
	at   map[uint64]uint64 // hash to the newest step that began there
}

// NewHistory makes a log of at most most changes.
func NewHistory(most int) *History { return &History{most: most, at: map[uint64]uint64{}} }

func (l *History) note(from uint64, node string, now *Member) {
	l.at[from] = l.base + uint64(len(l.all))
	l.all = append(l.all, step{from, node, now})
	// Cut in halves, so that the copy is rare.
	if len(l.all) > 2*l.most {
		for i, s := range l.all[:l.most] {
			if l.at[s.from] == l.base+uint64(i) {
				delete(l.at, s.from)
			}
		}
		l.base += uint64(l.most)
		l.all = append([]step(nil), l.all[l.most:]...)
	}
}

// Since gives what differs between the list with a hash and the newest; false
// when that hash isn't in the log.
func (l *History) Since(hash uint64) (Diff, bool) {
	at, ok := l.at[hash]
	if !ok {
		return Diff{}, false
	}
	last := map[string]*Member{}
	var order []string
	for _, s := range l.all[at-l.base:] {
		if _, ok := last[s.node]; !ok {
			order = append(order, s.node)
		}
		last[s.node] = s.now
	}
	var d Diff
	for _, n := range order {
		if f := last[n]; f != nil {
			d.Added = append(d.Added, *f)
		} else {
			d.Removed = append(d.Removed, n)
		}
	}
	return d, true
}
