package plumtree

import "time"

// scheduleGraft requests a call of Graft after half the graft timeout. The next tick may
// be a full timeout away, and each gap in the tree on the path of an item would add that
// delay again. The caller holds mu.
func (t *Tree) scheduleGraft() {
	if t.batching.RequestGraft != nil && !t.graftScheduled {
		t.graftScheduled = true
		t.batching.RequestGraft()
	}
}

// Graft requests overdue missing items without waiting for the next tick.
func (t *Tree) Graft() {
	t.mu.Lock()
	t.graftScheduled = false
	messages := t.takeGrafts(time.Now())
	t.mu.Unlock()
	t.sendAll(messages)
}

// takeGrafts returns requests for the overdue missing items, and makes the links that it
// sends them over eager. The caller holds mu.
func (t *Tree) takeGrafts(now time.Time) []outgoing {
	var messages []outgoing
	requests := map[string][]string{}
	for id, item := range t.missing {
		timeout := t.graftTimeout / 2
		if item.pulled {
			timeout = t.graftTimeout
		}
		if now.Sub(item.since) < timeout {
			if !item.pulled {
				t.scheduleGraft()
			}
			continue
		}
		// After each timeout the next peer that announced the item is asked. When none
		// is left, the item is left to anti-entropy repair.
		if len(item.candidates) == 0 {
			delete(t.missing, id)
			continue
		}
		requests[item.candidates[0]] = append(requests[item.candidates[0]], id)
		item.candidates, item.since = item.candidates[1:], now
		t.scheduleGraft()
	}
	for link, ids := range requests {
		t.makeEager(link)
		t.Stats.Graft++
		messages = append(messages, outgoing{link, Message{Kind: "graft", From: t.self, IDs: ids}})
	}
	return messages
}
