package plumtree

import "time"

// Tick sends the waiting names, grafts what is missing for too long and
// forgets what is old.
func (t *Tree) Tick() {
	var all []out
	now := time.Now()
	t.mu.Lock()
	all = t.called()
	// It is over when no more came than go whole. Pieces of many sources at once
	// prune each other's links, up to the last: the tree grows anew.
	was := t.busy
	if t.busy, t.fresh = t.fresh > Burst, 0; was && !t.busy {
		for a := range t.lazy {
			t.warm(a)
		}
	}
	ask := map[string][]string{}
	for id, g := range t.gap {
		if now.Sub(g.since) < t.wait {
			continue
		}
		// Each wait the next one that named it is asked; with none left,
		// repair finds it.
		if len(g.from) == 0 {
			delete(t.gap, id)
			continue
		}
		ask[g.from[0]] = append(ask[g.from[0]], id)
		g.from, g.since = g.from[1:], now
	}
	for a, ids := range ask {
		t.warm(a)
		t.Count.Graft++
		all = append(all, out{a, Message{Kind: "graft", From: t.self, IDs: ids}})
	}
	for id, k := range t.had {
		if now.Sub(k.at) > t.keep {
			delete(t.had, id)
		}
	}
	// A table keeps the room of the most that it held.
	if t.most = max(t.most, len(t.had), len(t.gap)); len(t.had)+len(t.gap) == 0 && t.most > 16*Burst {
		t.had, t.gap, t.most = map[string]kept{}, map[string]*missing{}, 0
	}
	t.mu.Unlock()
	t.flush(all)
}
