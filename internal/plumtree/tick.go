package plumtree

import "time"

// Tick sends queued announcements, requests overdue missing items and drops cached items
// older than the retention time.
func (t *Tree) Tick() {
	var messages []outgoing
	now := time.Now()
	t.mu.Lock()
	t.linkSwapped = false
	messages = t.takeAnnouncements()
	// A burst ends when at most MaxEagerBurst items arrived since the last tick. Items
	// of many sources may have pruned all links by then, so every link becomes eager and
	// the tree forms again.
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
	// Go maps do not shrink, so empty ones are replaced after a large peak.
	if t.peakItems = max(t.peakItems, len(t.items), len(t.missing)); len(t.items)+len(t.missing) == 0 && t.peakItems > 16*MaxEagerBurst {
		t.items, t.missing, t.peakItems = map[string]cachedItem{}, map[string]*missingItem{}, 0
	}
	t.mu.Unlock()
	t.sendAll(messages)
}
