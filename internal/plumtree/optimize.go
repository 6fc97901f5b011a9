package plumtree

// minHopGain is how many hops more than by another link news may take to get here.
// Links that meet by chance make a tree nearly three times as deep as its overlay;
// a smaller figure would have links change for every source of news.
const minHopGain = 3

// announcedHops is how many hops the pieces of these names have at the most for who gets
// them by this node, one more than here; 0 when that of one isn't known. mu is held.
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

// optimizeLink exchanges the link that news came by for the one that named it, where
// it would have come by much fewer hops (the optimization of the tree in the
// Plumtree paper). At most one link goes between two ticks, so that the tree stays
// one while others do the same. mu is held.
func (t *Tree) optimizeLink(item cachedItem, announcement Message) []outgoing {
	// An older node says nothing of hops.
	if announcement.Round == 0 || item.batched || t.linkSwapped || item.round-announcement.Round < minHopGain || !t.eager[item.via] || !t.lazy[announcement.From] {
		return nil
	}
	t.linkSwapped = true
	t.Count.Short++
	delete(t.eager, item.via)
	t.lazy[item.via] = true
	t.makeEager(announcement.From)
	return []outgoing{{announcement.From, Message{Kind: "graft", From: t.self}}, {item.via, Message{Kind: "prune", From: t.self}}}
}
