package plumtree

import "time"

// scheduleGraft has what is missing asked for half a wait from now, as far as it is still
// missing then; mu is held. A tick may be a whole wait away, and each gap of the
// tree on the way of a piece would cost that once more.
func (t *Tree) scheduleGraft() {
	if t.batching.RequestGraft != nil && !t.graftScheduled {
		t.graftScheduled = true
		t.batching.RequestGraft()
	}
}

// Graft asks for what is missing for too long, before the next tick.
func (t *Tree) Graft() {
	t.mu.Lock()
	t.graftScheduled = false
	messages := t.takeGrafts(time.Now())
	t.mu.Unlock()
	t.sendAll(messages)
}

// takeGrafts asks for each piece missing for too long, and makes the links eager by
// which it is asked for; mu is held.
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
		// Each wait the next one that named it is asked; with none left,
		// repair finds it.
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
		t.Count.Graft++
		messages = append(messages, outgoing{link, Message{Kind: "graft", From: t.self, IDs: ids}})
	}
	return messages
}
