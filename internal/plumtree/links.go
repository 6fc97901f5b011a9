package plumtree

import "slices"

// SetNeighbors sets the overlay neighbours. A new one starts eager.
func (t *Tree) SetNeighbors(all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := map[string]bool{}
	for _, a := range all {
		if a == t.self {
			continue
		}
		now[a] = true
		if !t.eager[a] && !t.lazy[a] {
			t.eager[a] = true
		}
	}
	for a := range t.eager {
		if !now[a] {
			delete(t.eager, a)
			delete(t.names, a)
		}
	}
	for a := range t.lazy {
		if !now[a] {
			delete(t.lazy, a)
			delete(t.names, a)
		}
	}
}

// LinkCounts counts the links by kind.
func (t *Tree) LinkCounts() (eager, lazy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.eager), len(t.lazy)
}

// MaxHops gives the most hops that news took to get here, and begins anew.
func (t *Tree) MaxHops() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.deep
	t.deep = 0
	return d
}

// name lets the neighbours know of a piece by its name, at the next tick.
func (t *Tree) name(id string, but ...string) {
	for _, set := range []map[string]bool{t.eager, t.lazy} {
		for a := range set {
			if !slices.Contains(but, a) {
				t.call(a, id)
			}
		}
	}
}

// Announce lets the neighbours know of a piece that was cast before there were any.
func (t *Tree) Announce(id string) {
	t.mu.Lock()
	t.name(id)
	t.hurry()
	t.mu.Unlock()
}

// warm makes a known link eager.
func (t *Tree) warm(a string) {
	if t.lazy[a] {
		delete(t.lazy, a)
		t.eager[a] = true
	}
}
