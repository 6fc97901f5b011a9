package membership

// claim is one source's word on a node.
type claim struct {
	from string
	f    *Member
	seq  uint64
}

// Tracker is the list that a control node makes of its own sessions and of what
// the others say of theirs. Each change costs what it is, not what the list is.
type Tracker struct {
	own   string // the source that goes before the others
	by    map[string][]claim
	of    map[string]map[string]bool // source to the nodes that it has
	seq   uint64
	hash  uint64
	count int // fronts
	log   *History
	book  *List
	stale map[string]bool // nodes that changed since the book was made
}

// NewTracker makes an empty list whose log keeps most changes.
func NewTracker(own string, most int) *Tracker {
	return &Tracker{own: own, by: map[string][]claim{}, of: map[string]map[string]bool{}, log: NewHistory(most), book: &List{}, stale: map[string]bool{}}
}

// now gives what counts of a node: the own session, else the newest word.
func (r *Tracker) now(node string) *Member {
	var best *claim
	for i := range r.by[node] {
		c := &r.by[node][i]
		if c.from == r.own {
			return c.f
		}
		if best == nil || c.seq > best.seq {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.f
}

func (r *Tracker) set(from, node string, f *Member) {
	was := r.now(node)
	list := r.by[node]
	at := -1
	for i := range list {
		if list[i].from == from {
			at = i
		}
	}
	r.seq++
	switch {
	case f != nil && at >= 0:
		list[at].f, list[at].seq = f, r.seq
	case f != nil:
		r.by[node] = append(list, claim{from, f, r.seq})
		if r.of[from] == nil {
			r.of[from] = map[string]bool{}
		}
		r.of[from][node] = true
	case at >= 0:
		r.by[node] = append(list[:at], list[at+1:]...)
		delete(r.of[from], node)
		if len(r.by[node]) == 0 {
			delete(r.by, node)
		}
	}
	is := r.now(node)
	if was == is || was != nil && is != nil && *was == *is {
		return
	}
	from0 := r.hash
	if was != nil {
		r.weigh(was, -1)
	}
	if is != nil {
		r.weigh(is, 1)
	}
	r.log.note(from0, node, is)
	r.stale[node] = true
}

func (r *Tracker) weigh(f *Member, by int) {
	r.hash ^= sign(f)
	if f.Role == "proxy" {
		r.count += by
	}
}

// ProxyCount counts the members that take callers' jobs.
func (r *Tracker) ProxyCount() int { return r.count }

// Set takes a source's word that a node is there.
func (r *Tracker) Set(from string, f Member) { r.set(from, f.Node, &f) }

// Remove takes its word that a node is gone.
func (r *Tracker) Remove(from, node string) { r.set(from, node, nil) }

// RemoveSource forgets a source.
func (r *Tracker) RemoveSource(from string) {
	for n := range r.of[from] {
		r.set(from, n, nil)
	}
	delete(r.of, from)
}

// Replace takes a source's whole list.
func (r *Tracker) Replace(from string, list []Member) {
	here := map[string]bool{}
	for _, f := range list {
		here[f.Node] = true
		r.Set(from, f)
	}
	for n := range r.of[from] {
		if !here[n] {
			r.set(from, n, nil)
		}
	}
}

// Hash names the list of now.
func (r *Tracker) Hash() uint64 { return r.hash }

// Since gives what differs from the list with a hash.
func (r *Tracker) Since(hash uint64) (Diff, bool) { return r.log.Since(hash) }

// List gives the list of now; it is made anew only when something changed.
func (r *Tracker) List() *List {
	if len(r.stale) == 0 {
		return r.book
	}
	var come []Member
	var gone []string
	for n := range r.stale {
		if f := r.now(n); f != nil {
			come = append(come, *f)
		} else {
			gone = append(gone, n)
		}
	}
	clear(r.stale)
	r.book = r.book.Apply(come, gone)
	return r.book
}
