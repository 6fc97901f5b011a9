package plumtree

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

// MaxEagerBurst is the maximum number of items sent over eager links between two ticks.
// When more arrive at once, as when all nodes start or a zone reconnects, the links are
// not pruned yet, or each is the best one for another source, so each item would be sent
// over nearly all links. Further items are announced by ID, and each node fetches them
// once and in batches.
const MaxEagerBurst = 8

// Batching holds the functions that send items in batches. Without them, each item is
// sent by itself. RequestFlush, RequestGraft and Rebuild are called with the tree locked
// and must not call it.
type Batching struct {
	// RequestFlush arranges a call of Flush before the next tick.
	RequestFlush func()
	// RequestGraft arranges a call of Graft after half the graft timeout.
	RequestGraft func()
	// Encode encodes items given by ID and body; a body is nil if it is not cached.
	Encode func(ids []string, bodies [][]byte) []byte
	// Decode processes a batch and returns the items that were new.
	Decode func(batch []byte) []Item
	// Rebuild recreates the body of an item, or returns nil if it can't.
	Rebuild func(id string) []byte
}

// Item is one gossiped item. Body is nil if Rebuild can recreate it.
type Item struct {
	ID   string
	Body []byte
}

// SetBatching enables batching. It must be called before the first message.
func (t *Tree) SetBatching(batching Batching) { t.batching = batching }

// exceedsBurst counts an item and reports whether it exceeds the number that may be sent
// over eager links before the next tick. The caller holds mu.
func (t *Tree) exceedsBurst() bool {
	t.itemsSinceTick++
	return t.batching.RequestFlush != nil && t.itemsSinceTick > MaxEagerBurst
}

// announceBurst queues an item of a burst, which is only announced, and schedules a flush.
// The caller holds mu.
func (t *Tree) announceBurst(id string, except ...string) {
	t.announce(id, except...)
	t.burst = true
	t.scheduleFlush()
}

// scheduleFlush requests a flush before the next tick. The caller holds mu.
func (t *Tree) scheduleFlush() {
	if t.batching.RequestFlush != nil && !t.flushScheduled {
		t.flushScheduled = true
		t.batching.RequestFlush()
	}
}

// Flush sends the queued announcements.
func (t *Tree) Flush() {
	t.mu.Lock()
	t.flushScheduled = false
	messages := t.takeAnnouncements()
	t.mu.Unlock()
	t.sendAll(messages)
}

// takeAnnouncements empties the queue and returns its messages. The caller holds mu.
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
		// Sorted, so that nodes that receive the same IDs request them in the same order.
		slices.Sort(message.IDs)
		if len(message.IDs) > 0 {
			messages = append(messages, outgoing{link, message})
		}
		delete(t.announcements, link)
	}
	return messages
}

// answerPull returns the requested items in a batch. The caller does not hold mu.
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

// receiveBatch processes a batch and announces its new items to the neighbors.
func (t *Tree) receiveBatch(message Message) {
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
		// Rebuild can recreate items without a body; caching each of many thousands
		// here would only cost memory.
		if item.Body != nil {
			t.items[item.ID] = cachedItem{body: item.Body, storedAt: now, batched: true}
		}
		delete(t.missing, item.ID)
		t.announceBurst(item.ID, message.From)
	}
}

// compactID returns the short form of an ID used in large announcements: its kind as a
// capital letter and its number in binary. Other IDs are returned unchanged.
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

// expandID reverses compactID.
func expandID(id string) string {
	if len(id) != 9 || id[0] != 'A' && id[0] != 'D' {
		return id
	}
	return string(id[0]|0x20) + strconv.FormatUint(binary.BigEndian.Uint64([]byte(id[1:])), 36)
}
