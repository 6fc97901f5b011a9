package plumtree

import "time"

// Tick sends the waiting names, grafts what is missing for too long and
// forgets what is old.
func (t *Tree) Tick() {
	var all []out
	now := time.Now()
	t.mu.Lock()
	t.moved = false
	all = t.called()
	// It is over when no more came than go whole. Pieces of many sources at once
	// prune each other's links, up to the last: the tree grows anew.
	was := t.busy
	if t.busy, t.fresh = t.fresh > MaxEagerBurst, 0; was && !t.busy {
		for a := range t.lazy {
			t.warm(a)
		}
	}
	all = append(all, t.grafts(now)...)
	for id, k := range t.had {
		if now.Sub(k.at) > t.keep {
			delete(t.had, id)
		}
	}
	// A table keeps the room of the most that it held.
	if t.most = max(t.most, len(t.had), len(t.gap)); len(t.had)+len(t.gap) == 0 && t.most > 16*MaxEagerBurst {
		t.had, t.gap, t.most = map[string]kept{}, map[string]*missing{}, 0
	}
	t.mu.Unlock()
	t.flush(all)
}
