package plumtree

import "time"

// Tick sends the waiting names, grafts what is missing for too long and
// forgets what is old.
func (t *Tree) Tick() {
	var messages []outgoing
	now := time.Now()
	t.mu.Lock()
	t.linkSwapped = false
	messages = t.takeAnnouncements()
	// It is over when no more came than go whole. Pieces of many sources at once
	// prune each other's links, up to the last: the tree grows anew.
	burstBefore := t.burst
	if t.burst, t.itemsSinceTick = t.itemsSinceTick > MaxEagerBurst, 0; burstBefore && !t.burst {
		for link := range t.lazy {
			t.makeEager(link)
		}
	}
	messages = append(messages, t.takeGrafts(now)...)
	for id, item := range t.items {
		if now.Sub(item.storedAt) > t.retention {
			delete(t.items, id)
		}
	}
	// A table keeps the room of the most that it held.
	if t.peakItems = max(t.peakItems, len(t.items), len(t.missing)); len(t.items)+len(t.missing) == 0 && t.peakItems > 16*MaxEagerBurst {
		t.items, t.missing, t.peakItems = map[string]cachedItem{}, map[string]*missingItem{}, 0
	}
	t.mu.Unlock()
	t.sendAll(messages)
}
