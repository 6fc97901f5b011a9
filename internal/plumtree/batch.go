package plumtree

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

// MaxEagerBurst is how many pieces go over the eager links whole between two ticks.
// When more come at once, as when all nodes start or a zone returns, links are
// not yet pruned, or each is the best for another source, and each piece would
// go over nearly all of them: the others go by name and are fetched many at a
// time, once for each node.
const MaxEagerBurst = 8

// Batching is how the host carries many pieces at once. Without it all go alone.
type Batching struct {
	// Soon is asked to call Flush before the next tick.
	RequestFlush func()
	// Late is asked to call Graft half a wait later.
	RequestGraft func()
	// Give bundles pieces, of each the name and, if it is at hand, the body.
	Encode func(ids []string, bodies [][]byte) []byte
	// Take takes in a bundle, and gives what of it was news.
	Decode func(bundle []byte) []Item
	// Find makes the body of a piece anew, nil when it can't.
	Rebuild func(id string) []byte
}

// Item is one piece of news. Body is nil when the host can make it anew.
type Item struct {
	ID   string
	Body []byte
}

// SetBatching sets how many pieces are carried at once; before the first message.
func (t *Tree) SetBatching(batching Batching) { t.batching = batching }

// exceedsBurst tells whether one more piece is over what goes whole before the next
// tick; mu is held.
func (t *Tree) exceedsBurst() bool {
	t.itemsSinceTick++
	return t.batching.RequestFlush != nil && t.itemsSinceTick > MaxEagerBurst
}

// announceBurst has a piece wait for the next flush as a name; mu is held, and
// Soon must not come back into the tree.
func (t *Tree) announceBurst(id string, except ...string) {
	t.announce(id, except...)
	t.burst = true
	t.scheduleFlush()
}

// scheduleFlush has the names that wait sent before the next tick; mu is held.
func (t *Tree) scheduleFlush() {
	if t.batching.RequestFlush != nil && !t.flushScheduled {
		t.flushScheduled = true
		t.batching.RequestFlush()
	}
}

// Flush sends the names that wait.
func (t *Tree) Flush() {
	t.mu.Lock()
	t.flushScheduled = false
	messages := t.takeAnnouncements()
	t.mu.Unlock()
	t.sendAll(messages)
}

// takeAnnouncements makes the messages of all names that wait; mu is held.
func (t *Tree) takeAnnouncements() []outgoing {
	var messages []outgoing
	for link, ids := range t.announcements {
		message := Message{Kind: "ihave", From: t.self, LazyOnly: t.burst}
		for id := range ids {
			if t.burst {
				id = compactID(id)
			}
			message.IDs = append(message.IDs, id)
		}
		message.Round = t.announcedHops(ids)
		// Those who go through two lists of one order ask for the same.
		slices.Sort(message.IDs)
		if len(message.IDs) > 0 {
			messages = append(messages, outgoing{link, message})
		}
		delete(t.announcements, link)
	}
	return messages
}

// answerPull answers a pull; mu is not held.
func (t *Tree) answerPull(pull Message) []outgoing {
	var ids []string
	var bodies [][]byte
	t.mu.Lock()
	for _, id := range pull.IDs {
		id = expandID(id)
		ids, bodies = append(ids, id), append(bodies, t.items[id].body)
	}
	t.mu.Unlock()
	if t.batching.Encode == nil || len(ids) == 0 {
		return nil
	}
	return []outgoing{{pull.From, Message{Kind: "many", From: t.self, Body: t.batching.Encode(ids, bodies)}}}
}

// receiveBundle takes in a bundle and names its news to the neighbours.
func (t *Tree) receiveBundle(message Message) {
	if t.batching.Decode == nil {
		return
	}
	items := t.batching.Decode(message.Body)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range items {
		if _, ok := t.items[item.ID]; ok {
			continue
		}
		// What the host can make anew it knows: it need not stand here too, once
		// for each of many thousands.
		if item.Body != nil {
			t.items[item.ID] = cachedItem{body: item.Body, storedAt: now, batched: true}
		}
		delete(t.missing, item.ID)
		t.announceBurst(item.ID, message.From)
	}
}

// compactID is a name as it travels among many: the number as it is, not as text.
func compactID(id string) string {
	if len(id) < 2 || id[0] != 'a' && id[0] != 'd' {
		return id
	}
	number, err := strconv.ParseUint(id[1:], 36, 64)
	if err != nil || strconv.FormatUint(number, 36) != id[1:] {
		return id
	}
	return string(binary.BigEndian.AppendUint64([]byte{id[0] &^ 0x20}, number))
}

// expandID is the name that a short one stands for.
func expandID(id string) string {
	if len(id) != 9 || id[0] != 'A' && id[0] != 'D' {
		return id
	}
	return string(id[0]|0x20) + strconv.FormatUint(binary.BigEndian.Uint64([]byte(id[1:])), 36)
}
