package plumtree

// detour is how many hops more than by another link news may take to get here.
// Links that meet by chance make a tree nearly three times as deep as its overlay;
// a smaller figure would have links change for every source of news.
const detour = 3

// hops is how many hops the pieces of these names have at the most for who gets
// them by this node, one more than here; 0 when that of one isn't known. mu is held.
func (t *Tree) hops(ids map[string]bool) int {
	if t.busy {
		return 0
	}
	most := 0
	for id := range ids {
		k, ok := t.had[id]
		if !ok || k.loose {
			return 0
		}
		most = max(most, k.round+1)
	}
	return most
}

// shorten exchanges the link that news came by for the one that named it, where
// it would have come by much fewer hops (the optimization of the tree in the
// Plumtree paper). At most one link goes between two ticks, so that the tree stays
// one while others do the same. mu is held.
func (t *Tree) shorten(k kept, m Message) []out {
	// An older node says nothing of hops.
	if m.Round == 0 || k.loose || t.moved || k.round-m.Round < detour || !t.eager[k.from] || !t.lazy[m.From] {
		return nil
	}
	t.moved = true
	t.Count.Short++
	delete(t.eager, k.from)
	t.lazy[k.from] = true
	t.warm(m.From)
	return []out{{m.From, Message{Kind: "graft", From: t.self}}, {k.from, Message{Kind: "prune", From: t.self}}}
}
