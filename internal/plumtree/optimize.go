package plumtree

// minHopGain is the number of hops that another link must save to replace an eager one.
// Without replacement, the tree that forms by chance is nearly three times as deep as its
// overlay. A smaller threshold would change links for every source of items.
const minHopGain = 3

// announcedHops returns the most hops that any of the items would have at a receiver that
// gets them from this node, or 0 if the hops of one are unknown. The caller holds mu.
func (t *Tree) announcedHops(ids map[string]bool) int {
	if t.burst {
		return 0
	}
	hops := 0
	for id := range ids {
		item, ok := t.items[id]
		if !ok || item.batched {
			return 0
		}
		hops = max(hops, item.round+1)
	}
	return hops
}

// optimizeLink swaps the eager link that an item arrived over with the lazy link that
// announced it, if that saves at least minHopGain hops (tree optimization in the Plumtree
// paper). It swaps at most one link between two ticks, so that the tree stays connected
// while other nodes do the same. The caller holds mu.
func (t *Tree) optimizeLink(item cachedItem, announcement Message) []outgoing {
	// Nodes of an earlier version send no hop counts.
	if announcement.Round == 0 || item.batched || t.linkSwapped || item.round-announcement.Round < minHopGain || !t.eager[item.via] || !t.lazy[announcement.From] {
		return nil
	}
	t.linkSwapped = true
	t.Stats.Optimized++
	delete(t.eager, item.via)
	t.lazy[item.via] = true
	t.makeEager(announcement.From)
	return []outgoing{{announcement.From, Message{Kind: "graft", From: t.self}}, {item.via, Message{Kind: "prune", From: t.self}}}
}
