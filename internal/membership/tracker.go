package membership

// claim is what one source reports of a node.
type claim struct {
	source string
	member *Member
	seq    uint64
}

// Tracker maintains the list of members at a control-plane node, from its own sessions and
// from the sessions that the other control-plane nodes report. The cost of an update
// depends on the size of the change, not of the list.
type Tracker struct {
	ownSource     string // the source that takes precedence
	claims        map[string][]claim
	nodesBySource map[string]map[string]bool // source to the nodes it reports
	seq           uint64
	hash          uint64
	proxies       int // number of proxies in the list
	history       *History
	list          *List
	changed       map[string]bool // nodes that changed since list was computed
}

// NewTracker creates an empty tracker whose history keeps at least limit changes.
func NewTracker(ownSource string, limit int) *Tracker {
	return &Tracker{ownSource: ownSource, claims: map[string][]claim{}, nodesBySource: map[string]map[string]bool{}, history: NewHistory(limit), list: &List{}, changed: map[string]bool{}}
}

// current returns the effective state of a node: that of its session here, else the latest
// report. It returns nil if there is none.
func (t *Tracker) current(node string) *Member {
	var best *claim
	for i := range t.claims[node] {
		candidate := &t.claims[node][i]
		if candidate.source == t.ownSource {
			return candidate.member
		}
		if best == nil || candidate.seq > best.seq {
			best = candidate
		}
	}
	if best == nil {
		return nil
	}
	return best.member
}

// set records what a source reports of a node; a nil member means that it is gone.
func (t *Tracker) set(source, node string, member *Member) {
	before := t.current(node)
	claims := t.claims[node]
	index := -1
	for i := range claims {
		if claims[i].source == source {
			index = i
		}
	}
	t.seq++
	switch {
	case member != nil && index >= 0:
		claims[index].member, claims[index].seq = member, t.seq
	case member != nil:
		t.claims[node] = append(claims, claim{source, member, t.seq})
		if t.nodesBySource[source] == nil {
			t.nodesBySource[source] = map[string]bool{}
		}
		t.nodesBySource[source][node] = true
	case index >= 0:
		t.claims[node] = append(claims[:index], claims[index+1:]...)
		delete(t.nodesBySource[source], node)
		if len(t.claims[node]) == 0 {
			delete(t.claims, node)
		}
	}
	after := t.current(node)
	if before == after || before != nil && after != nil && *before == *after {
		return
	}
	hashBefore := t.hash
	if before != nil {
		t.account(before, -1)
	}
	if after != nil {
		t.account(after, 1)
	}
	t.history.record(hashBefore, node, after)
	t.changed[node] = true
}

// account updates the hash and the number of proxies for a member that is added (delta 1)
// or removed (delta -1).
func (t *Tracker) account(member *Member, delta int) {
	t.hash ^= memberHash(member)
	if member.Role == "proxy" {
		t.proxies += delta
	}
}

// ProxyCount returns the number of proxies, which take callers' requests.
func (t *Tracker) ProxyCount() int { return t.proxies }

// Set records that a source reports a node as present.
func (t *Tracker) Set(source string, member Member) { t.set(source, member.Node, &member) }

// Remove records that a source no longer reports a node.
func (t *Tracker) Remove(source, node string) { t.set(source, node, nil) }

// RemoveSource drops a source and all its reports.
func (t *Tracker) RemoveSource(source string) {
	for node := range t.nodesBySource[source] {
		t.set(source, node, nil)
	}
	delete(t.nodesBySource, source)
}

// Replace replaces all reports of a source.
func (t *Tracker) Replace(source string, members []Member) {
	present := map[string]bool{}
	for _, member := range members {
		present[member.Node] = true
		t.Set(source, member)
	}
	for node := range t.nodesBySource[source] {
		if !present[node] {
			t.set(source, node, nil)
		}
	}
}

// Hash returns the hash of the current list.
func (t *Tracker) Hash() uint64 { return t.hash }

// Since returns the difference between the list with a hash and the current one. It returns
// false if the history does not contain that hash.
func (t *Tracker) Since(hash uint64) (Diff, bool) { return t.history.Since(hash) }

// List returns the current list. It is recomputed only after a change.
func (t *Tracker) List() *List {
	if len(t.changed) == 0 {
		return t.list
	}
	var added []Member
	var removed []string
	for node := range t.changed {
		if member := t.current(node); member != nil {
			added = append(added, *member)
		} else {
			removed = append(removed, node)
		}
	}
	clear(t.changed)
	t.list = t.list.Apply(added, removed)
	return t.list
}
