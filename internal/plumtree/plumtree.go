// Package plumtree implements Plumtree gossip: items are sent in full over eager links and
// announced by ID over lazy ones. A duplicate prunes a link; a missing item grafts one.
package plumtree

import (
	"slices"
	"sync"
	"time"
)

// Message is a gossip message.
type Message struct {
	Kind     string   `msgpack:"k"` // gossip, ihave, graft, prune, pull, many
	From     string   `msgpack:"f"` // internal address of the sender
	ID       string   `msgpack:"i,omitempty"`
	Round    int      `msgpack:"r,omitempty"` // hops from the source; of an ihave: the most that any item would have via the sender, 0 if unknown
	IDs      []string `msgpack:"l,omitempty"`
	Body     []byte   `msgpack:"b,omitempty"`
	LazyOnly bool     `msgpack:"n,omitempty"` // of an ihave: the items are not sent over eager links, so request missing ones at once
}

// cachedItem is an item that can be sent to peers that request it.
type cachedItem struct {
	body     []byte
	round    int
	storedAt time.Time
	via      string // the link it arrived over, empty for own items
	batched  bool   // it arrived in a batch, so round is not set
}

// missingItem is an item that was announced but has not arrived.
type missingItem struct {
	since      time.Time
	candidates []string // peers to request it from, in order
	holders    []string // all peers that announced it
	shortest   Message  // the announcement with the fewest hops
	pulled     bool     // requested in a batch, which takes longer to arrive
}

// Tree is one node's part of the gossip tree. It starts no goroutines: it sends messages
// by the send function, Receive handles incoming ones, and Tick drives its timers.
type Tree struct {
	mu             sync.Mutex
	self           string
	eager          map[string]bool
	lazy           map[string]bool
	items          map[string]cachedItem
	missing        map[string]*missingItem
	announcements  map[string]map[string]bool // link to the IDs to announce over it
	graftTimeout   time.Duration
	retention      time.Duration
	send           func(to string, m Message)
	deliver        func(body []byte) bool
	known          func(id string) bool
	Stats          struct{ Eager, Duplicate, Graft, Prune, Optimized int64 }
	maxHops        int // most hops of an item received since the last MaxHops call
	batching       Batching
	peakItems      int  // most entries in items or missing since they were allocated
	itemsSinceTick int  // items since the last tick
	burst          bool // more than MaxEagerBurst items since a tick: further ones are only announced
	flushScheduled bool // Flush was requested
	linkSwapped    bool // optimizeLink swapped a link since the last tick
	graftScheduled bool // Graft was requested
}

// New creates a tree. A missing item is requested after half of graftTimeout, or after all
// of it if a batch with it was requested already. Peers can request an item for the
// retention time. deliver processes an item and returns whether it was new. known reports
// whether an item is known, even if it is no longer in the tree's cache; it must not call
// the tree.
func New(self string, graftTimeout, retention time.Duration, send func(string, Message), deliver func([]byte) bool, known func(string) bool) *Tree {
	return &Tree{self: self, eager: map[string]bool{}, lazy: map[string]bool{}, items: map[string]cachedItem{},
		missing: map[string]*missingItem{}, announcements: map[string]map[string]bool{}, graftTimeout: graftTimeout, retention: retention, send: send, deliver: deliver, known: known}
}

type outgoing struct {
	to      string
	message Message
}

func (t *Tree) sendAll(messages []outgoing) {
	for _, next := range messages {
		t.send(next.to, next.message)
	}
}

// Broadcast gossips an item. An item with the same ID that was seen within the retention
// time is not sent again.
func (t *Tree) Broadcast(id string, body []byte) {
	t.mu.Lock()
	if _, ok := t.items[id]; ok {
		t.mu.Unlock()
		return
	}
	delete(t.missing, id)
	t.items[id] = cachedItem{body: body, storedAt: time.Now()}
	messages := t.forward(id, body, 0)
	t.mu.Unlock()
	t.sendAll(messages)
}

// forward sends an item to all neighbors but those that have it. The caller holds mu.
func (t *Tree) forward(id string, body []byte, round int, except ...string) []outgoing {
	var messages []outgoing
	if t.exceedsBurst() {
		t.announceBurst(id, except...)
		return nil
	}
	for link := range t.eager {
		if !slices.Contains(except, link) {
			messages = append(messages, outgoing{link, Message{Kind: "gossip", From: t.self, ID: id, Round: round + 1, Body: body}})
			t.Stats.Eager++
		}
	}
	for link := range t.lazy {
		if !slices.Contains(except, link) {
			t.queueAnnouncement(link, id)
			t.scheduleFlush()
		}
	}
	return messages
}

// queueAnnouncement queues an ID to announce over a link. The caller holds mu.
func (t *Tree) queueAnnouncement(link, id string) {
	if t.announcements[link] == nil {
		t.announcements[link] = map[string]bool{}
	}
	t.announcements[link][id] = true
}

// Receive handles one message.
func (t *Tree) Receive(message Message) {
	var messages []outgoing
	var holders []string // peers known to have the received item
	received := false
	switch message.Kind {
	case "pull":
		t.sendAll(t.answerPull(message))
		return
	case "many":
		t.receiveBatch(message)
		return
	}
	t.mu.Lock()
	switch message.Kind {
	case "gossip":
		if _, ok := t.items[message.ID]; ok {
			t.Stats.Duplicate++
			// A duplicate: prune the link.
			if t.eager[message.From] {
				delete(t.eager, message.From)
				t.lazy[message.From] = true
				t.Stats.Prune++
				messages = append(messages, outgoing{message.From, Message{Kind: "prune", From: t.self}})
			}
			break
		}
		t.items[message.ID] = cachedItem{body: message.Body, round: message.Round, storedAt: time.Now(), via: message.From}
		t.maxHops = max(t.maxHops, message.Round)
		t.makeEager(message.From)
		if gap := t.missing[message.ID]; gap != nil {
			messages = t.optimizeLink(t.items[message.ID], gap.shortest)
			holders = gap.holders
			delete(t.missing, message.ID)
		}
		holders = append(holders, message.From)
		received = true
	case "ihave":
		pull := Message{Kind: "pull", From: t.self}
		for _, id := range message.IDs {
			id = expandID(id)
			// A peer that has an item needs no announcement of it.
			delete(t.announcements[message.From], id)
			if item, ok := t.items[id]; ok {
				messages = append(messages, t.optimizeLink(item, message)...)
				continue
			}
			if t.known(id) {
				continue
			}
			gap := t.missing[id]
			if gap == nil {
				gap = &missingItem{since: time.Now()}
				t.missing[id] = gap
				if message.LazyOnly && t.batching.Decode != nil {
					pull.IDs, gap.pulled = append(pull.IDs, compactID(id)), true
				}
			}
			gap.candidates, gap.holders = append(gap.candidates, message.From), append(gap.holders, message.From)
			if !gap.pulled {
				t.scheduleGraft()
			}
			if message.Round > 0 && (gap.shortest.Round == 0 || message.Round < gap.shortest.Round) {
				gap.shortest = Message{From: message.From, Round: message.Round}
			}
		}
		if len(pull.IDs) > 0 {
			messages = append(messages, outgoing{message.From, pull})
		}
	case "graft":
		t.makeEager(message.From)
		for _, id := range message.IDs {
			id = expandID(id)
			item := t.items[id]
			if item.body == nil && t.batching.Rebuild != nil {
				item.body = t.batching.Rebuild(id)
			}
			if item.body != nil {
				messages = append(messages, outgoing{message.From, Message{Kind: "gossip", From: t.self, ID: id, Round: item.round + 1, Body: item.body}})
			}
		}
	case "prune":
		if t.eager[message.From] {
			delete(t.eager, message.From)
			t.lazy[message.From] = true
		}
	}
	t.mu.Unlock()
	if received {
		// Deliver before forwarding. An item that was known already is only announced
		// to the neighbors, who request it if it is new to them. So the broadcast of a
		// returning node, whose items all others know, stops at its neighbors.
		isNew := t.deliver(message.Body)
		t.mu.Lock()
		if isNew {
			messages = append(messages, t.forward(message.ID, message.Body, message.Round, holders...)...)
		} else {
			t.announce(message.ID, holders...)
		}
		t.mu.Unlock()
	}
	t.sendAll(messages)
}
