package plumtree

import "slices"

// SetNeighbors sets the overlay neighbours. A new one starts eager.
func (t *Tree) SetNeighbors(neighbors []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := map[string]bool{}
	for _, link := range neighbors {
		if link == t.self {
			continue
		}
		current[link] = true
		if !t.eager[link] && !t.lazy[link] {
			t.eager[link] = true
		}
	}
	for link := range t.eager {
		if !current[link] {
			delete(t.eager, link)
			delete(t.announcements, link)
		}
	}
	for link := range t.lazy {
		if !current[link] {
			delete(t.lazy, link)
			delete(t.announcements, link)
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
	hops := t.maxHops
	t.maxHops = 0
	return hops
}

// announce lets the neighbours know of a piece by its name, at the next tick.
func (t *Tree) announce(id string, except ...string) {
	for _, links := range []map[string]bool{t.eager, t.lazy} {
		for link := range links {
			if !slices.Contains(except, link) {
				t.queueAnnouncement(link, id)
			}
		}
	}
}

// Announce lets the neighbours know of a piece that was cast before there were any.
func (t *Tree) Announce(id string) {
	t.mu.Lock()
	t.announce(id)
	t.scheduleFlush()
	t.mu.Unlock()
}

// makeEager makes a known link eager.
func (t *Tree) makeEager(link string) {
	if t.lazy[link] {
		delete(t.lazy, link)
		t.eager[link] = true
	}
}
