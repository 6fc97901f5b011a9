package plumtree

import "slices"

// SetNeighbors sets the overlay neighbors. Links to new ones start eager.
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

// LinkCounts returns the number of links by kind.
func (t *Tree) LinkCounts() (eager, lazy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.eager), len(t.lazy)
}

// MaxHops returns the most hops of an item received since the last call.
func (t *Tree) MaxHops() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	hops := t.maxHops
	t.maxHops = 0
	return hops
}

// announce queues an ID to announce to all neighbors but some. The caller holds mu.
func (t *Tree) announce(id string, except ...string) {
	for _, links := range []map[string]bool{t.eager, t.lazy} {
		for link := range links {
			if !slices.Contains(except, link) {
				t.queueAnnouncement(link, id)
			}
		}
	}
}

// Announce announces an item that was broadcast before there were neighbors.
func (t *Tree) Announce(id string) {
	t.mu.Lock()
	t.announce(id)
	t.scheduleFlush()
	t.mu.Unlock()
}

// makeEager makes a lazy link eager; others are ignored. The caller holds mu.
func (t *Tree) makeEager(link string) {
	if t.lazy[link] {
		delete(t.lazy, link)
		t.eager[link] = true
	}
}
