package membership

// claim is one source's word on a node.
type claim struct {
	source string
	member *Member
	seq    uint64
}

// Tracker is the list that a control node makes of its own sessions and of what
// the others say of theirs. Each change costs what it is, not what the list is.
type Tracker struct {
	ownSource     string // the source that goes before the others
	claims        map[string][]claim
	nodesBySource map[string]map[string]bool // source to the nodes that it has
	seq           uint64
	hash          uint64
	proxies       int // fronts
	history       *History
	list          *List
	changed       map[string]bool // nodes that changed since the book was made
}

// NewTracker makes an empty list whose log keeps most changes.
func NewTracker(ownSource string, limit int) *Tracker {
	return &Tracker{ownSource: ownSource, claims: map[string][]claim{}, nodesBySource: map[string]map[string]bool{}, history: NewHistory(limit), list: &List{}, changed: map[string]bool{}}
}

// current gives what counts of a node: the own session, else the newest word.
func (r *Tracker) current(node string) *Member {
	var best *claim
	for i := range r.claims[node] {
		c := &r.claims[node][i]
		if c.source == r.ownSource {
			return c.member
		}
		if best == nil || c.seq > best.seq {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.member
}

func (r *Tracker) set(source, node string, member *Member) {
	before := r.current(node)
	claims := r.claims[node]
	index := -1
	for i := range claims {
		if claims[i].source == source {
			index = i
		}
	}
	r.seq++
	switch {
	case member != nil && index >= 0:
		claims[index].member, claims[index].seq = member, r.seq
	case member != nil:
		r.claims[node] = append(claims, claim{source, member, r.seq})
		if r.nodesBySource[source] == nil {
			r.nodesBySource[source] = map[string]bool{}
		}
		r.nodesBySource[source][node] = true
	case index >= 0:
		r.claims[node] = append(claims[:index], claims[index+1:]...)
		delete(r.nodesBySource[source], node)
		if len(r.claims[node]) == 0 {
			delete(r.claims, node)
		}
	}
	after := r.current(node)
	if before == after || before != nil && after != nil && *before == *after {
		return
	}
	hashBefore := r.hash
	if before != nil {
		r.account(before, -1)
	}
	if after != nil {
		r.account(after, 1)
	}
	r.history.record(hashBefore, node, after)
	r.changed[node] = true
}

func (r *Tracker) account(member *Member, delta int) {
	r.hash ^= memberHash(member)
	if member.Role == "proxy" {
		r.proxies += delta
	}
}

// ProxyCount counts the members that take callers' jobs.
func (r *Tracker) ProxyCount() int { return r.proxies }

// Set takes a source's word that a node is there.
func (r *Tracker) Set(source string, member Member) { r.set(source, member.Node, &member) }

// Remove takes its word that a node is gone.
func (r *Tracker) Remove(source, node string) { r.set(source, node, nil) }

// RemoveSource forgets a source.
func (r *Tracker) RemoveSource(source string) {
	for n := range r.nodesBySource[source] {
		r.set(source, n, nil)
	}
	delete(r.nodesBySource, source)
}

// Replace takes a source's whole list.
func (r *Tracker) Replace(source string, members []Member) {
	present := map[string]bool{}
	for _, member := range members {
		present[member.Node] = true
		r.Set(source, member)
	}
	for n := range r.nodesBySource[source] {
		if !present[n] {
			r.set(source, n, nil)
		}
	}
}

// Hash names the list of now.
func (r *Tracker) Hash() uint64 { return r.hash }

// Since gives what differs from the list with a hash.
func (r *Tracker) Since(hash uint64) (Diff, bool) { return r.history.Since(hash) }

// List gives the list of now; it is made anew only when something changed.
func (r *Tracker) List() *List {
	if len(r.changed) == 0 {
		return r.list
	}
	var added []Member
	var removed []string
	for n := range r.changed {
		if member := r.current(n); member != nil {
			added = append(added, *member)
		} else {
			removed = append(removed, n)
		}
	}
	clear(r.changed)
	r.list = r.list.Apply(added, removed)
	return r.list
}
