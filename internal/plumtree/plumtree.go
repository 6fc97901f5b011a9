// Package plumtree is the gossip tree: news travels whole over eager links and
// by name over lazy ones; a double prunes a link, a missing piece grafts one.
package plumtree

import (
	"slices"
	"sync"
	"time"
)

// Message is what travels on the tree.
type Message struct {
	Kind     string   `msgpack:"k"` // gossip, ihave, graft, prune, pull, many
	From     string   `msgpack:"f"` // inner address of the sender
	ID       string   `msgpack:"i,omitempty"`
	Round    int      `msgpack:"r,omitempty"` // hops from the source; of names: that they'd have with one more, at the most, 0 when not known
	IDs      []string `msgpack:"l,omitempty"`
	Body     []byte   `msgpack:"b,omitempty"`
	LazyOnly bool     `msgpack:"n,omitempty"` // of names: nothing comes whole, so what is missing is asked for at once
}

type cachedItem struct {
	body     []byte
	round    int
	storedAt time.Time
	via      string // the link that it came by, empty for one's own
	batched  bool   // it came among many, round says nothing
}

// missingItem is news heard of but not had yet.
type missingItem struct {
	since      time.Time
	candidates []string // whom to ask, in turn
	holders    []string // all who named it
	shortest   Message  // the name that told of the fewest hops
	pulled     bool     // among many, which may take a while to come
}

// Tree is one node's part of the tree. It starts no goroutine: Send hands a
// message out, Take gets one in, and Tick drives the timers.
type Tree struct {
	mu             sync.Mutex
	self           string
	eager          map[string]bool
	lazy           map[string]bool
	items          map[string]cachedItem
	missing        map[string]*missingItem
	announcements  map[string]map[string]bool // link to the names that wait for it
	graftTimeout   time.Duration
	retention      time.Duration
	send           func(to string, m Message)
	deliver        func(body []byte) bool
	known          func(id string) bool
	Count          struct{ Eager, Double, Graft, Prune, Short int64 }
	maxHops        int // the most hops that news took to get here
	batching       Batching
	peakItems      int  // pieces held at once
	itemsSinceTick int  // pieces since the last tick
	burst          bool // there were too many of them to go whole
	flushScheduled bool // a flush is on its way
	linkSwapped    bool // a link was exchanged for a shorter way since the last tick
	graftScheduled bool // grafts are on their way
}

// New makes a tree. Wait is how long news may be missing before it is grafted,
// keep is how long it can be asked for. Got takes a piece in and tells whether
// it was news; knows tells of a name whether its piece is known for longer than
// the tree remembers.
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

// Broadcast sends news out under a name. What went by under that name lately is not
// sent again.
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

// forward sends a piece on to all but those that have it.
func (t *Tree) forward(id string, body []byte, round int, except ...string) []outgoing {
	var messages []outgoing
	if t.exceedsBurst() {
		t.announceBurst(id, except...)
		return nil
	}
	for link := range t.eager {
		if !slices.Contains(except, link) {
			messages = append(messages, outgoing{link, Message{Kind: "gossip", From: t.self, ID: id, Round: round + 1, Body: body}})
			t.Count.Eager++
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

// queueAnnouncement has a name wait for a link.
func (t *Tree) queueAnnouncement(link, id string) {
	if t.announcements[link] == nil {
		t.announcements[link] = map[string]bool{}
	}
	t.announcements[link][id] = true
}

// Receive handles one message.
func (t *Tree) Receive(message Message) {
	var messages []outgoing
	var holders []string // those known to have what came
	received := false
	switch message.Kind {
	case "pull":
		t.sendAll(t.answerPull(message))
		return
	case "many":
		t.receiveBundle(message)
		return
	}
	t.mu.Lock()
	switch message.Kind {
	case "gossip":
		if _, ok := t.items[message.ID]; ok {
			t.Count.Double++
			// It came twice: this link is not needed whole.
			if t.eager[message.From] {
				delete(t.eager, message.From)
				t.lazy[message.From] = true
				t.Count.Prune++
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
			// Who has it need not hear of it.
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
		// Taken in before it goes on. What was known already, as to all when one
		// that was away casts what it learns, ends here: the neighbours get its
		// name, and ask if it is new to them.
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
