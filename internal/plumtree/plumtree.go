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
	Kind              string   `msgpack:"k"` // gossip, ihave, graft, prune, pull, many
	From              string   `msgpack:"f"` // inner address of the sender
	ID                string   `msgpack:"i,omitempty"`
	Round             int      `msgpack:"r,omitempty"` // hops from the source; of names: that they'd have with one more, at the most, 0 when not known
	IDs               []string `msgpack:"l,omitempty"`
	Body              []byte   `msgpack:"b,omitempty"`
	NothingComesWhole bool     `msgpack:"n,omitempty"` // of names: nothing comes whole, so what is missing is asked for at once
}

type kept struct {
	body  []byte
	round int
	at    time.Time
	from  string // the link that it came by, empty for one's own
	loose bool   // it came among many, round says nothing
}

// missing is news heard of but not had yet.
type missing struct {
	since time.Time
	from  []string // whom to ask, in turn
	named []string // all who named it
	near  Message  // the name that told of the fewest hops
	asked bool     // among many, which may take a while to come
}

// Tree is one node's part of the tree. It starts no goroutine: Send hands a
// message out, Take gets one in, and Tick drives the timers.
type Tree struct {
	mu    sync.Mutex
	self  string
	eager map[string]bool
	lazy  map[string]bool
	had   map[string]kept
	gap   map[string]*missing
	names map[string]map[string]bool // link to the names that wait for it
	wait  time.Duration
	keep  time.Duration
	send  func(to string, m Message)
	got   func(body []byte) bool
	knows func(id string) bool
	Count struct{ Eager, Double, Graft, Prune, Short int64 }
	deep  int // the most hops that news took to get here
	bulk  Batching
	most  int  // pieces held at once
	fresh int  // pieces since the last tick
	busy  bool // there were too many of them to go whole
	due   bool // a flush is on its way
	moved bool // a link was exchanged for a shorter way since the last tick
	late  bool // grafts are on their way
}

// New makes a tree. Wait is how long news may be missing before it is grafted,
// keep is how long it can be asked for. Got takes a piece in and tells whether
// it was news; knows tells of a name whether its piece is known for longer than
// the tree remembers.
func New(self string, wait, keep time.Duration, send func(string, Message), got func([]byte) bool, knows func(string) bool) *Tree {
	return &Tree{self: self, eager: map[string]bool{}, lazy: map[string]bool{}, had: map[string]kept{},
		gap: map[string]*missing{}, names: map[string]map[string]bool{}, wait: wait, keep: keep, send: send, got: got, knows: knows}
}

type out struct {
	to string
	m  Message
}

func (t *Tree) flush(all []out) {
	for _, o := range all {
		t.send(o.to, o.m)
	}
}

// Broadcast sends news out under a name. What went by under that name lately is not
// sent again.
func (t *Tree) Broadcast(id string, body []byte) {
	t.mu.Lock()
	if _, ok := t.had[id]; ok {
		t.mu.Unlock()
		return
	}
	delete(t.gap, id)
	t.had[id] = kept{body: body, at: time.Now()}
	all := t.spread(id, body, 0)
	t.mu.Unlock()
	t.flush(all)
}

// spread sends a piece on to all but those that have it.
func (t *Tree) spread(id string, body []byte, round int, but ...string) []out {
	var all []out
	if t.crowd() {
		t.later(id, but...)
		return nil
	}
	for a := range t.eager {
		if !slices.Contains(but, a) {
			all = append(all, out{a, Message{Kind: "gossip", From: t.self, ID: id, Round: round + 1, Body: body}})
			t.Count.Eager++
		}
	}
	for a := range t.lazy {
		if !slices.Contains(but, a) {
			t.call(a, id)
			t.hurry()
		}
	}
	return all
}

// call has a name wait for a link.
func (t *Tree) call(a, id string) {
	if t.names[a] == nil {
		t.names[a] = map[string]bool{}
	}
	t.names[a][id] = true
}

// Receive handles one message.
func (t *Tree) Receive(m Message) {
	var all []out
	var have []string // those known to have what came
	news := false
	switch m.Kind {
	case "pull":
		t.flush(t.bundle(m))
		return
	case "many":
		t.many(m)
		return
	}
	t.mu.Lock()
	switch m.Kind {
	case "gossip":
		if _, ok := t.had[m.ID]; ok {
			t.Count.Double++
			// It came twice: this link is not needed whole.
			if t.eager[m.From] {
				delete(t.eager, m.From)
				t.lazy[m.From] = true
				t.Count.Prune++
				all = append(all, out{m.From, Message{Kind: "prune", From: t.self}})
			}
			break
		}
		t.had[m.ID] = kept{body: m.Body, round: m.Round, at: time.Now(), from: m.From}
		t.deep = max(t.deep, m.Round)
		t.warm(m.From)
		if g := t.gap[m.ID]; g != nil {
			all = t.shorten(t.had[m.ID], g.near)
			have = g.named
			delete(t.gap, m.ID)
		}
		have = append(have, m.From)
		news = true
	case "ihave":
		pull := Message{Kind: "pull", From: t.self}
		for _, id := range m.IDs {
			id = long(id)
			// Who has it need not hear of it.
			delete(t.names[m.From], id)
			if k, ok := t.had[id]; ok {
				all = append(all, t.shorten(k, m)...)
				continue
			}
			if t.knows(id) {
				continue
			}
			g := t.gap[id]
			if g == nil {
				g = &missing{since: time.Now()}
				t.gap[id] = g
				if m.NothingComesWhole && t.bulk.Decode != nil {
					pull.IDs, g.asked = append(pull.IDs, short(id)), true
				}
			}
			g.from, g.named = append(g.from, m.From), append(g.named, m.From)
			if !g.asked {
				t.lag()
			}
			if m.Round > 0 && (g.near.Round == 0 || m.Round < g.near.Round) {
				g.near = Message{From: m.From, Round: m.Round}
			}
		}
		if len(pull.IDs) > 0 {
			all = append(all, out{m.From, pull})
		}
	case "graft":
		t.warm(m.From)
		for _, id := range m.IDs {
			id = long(id)
			k := t.had[id]
			if k.body == nil && t.bulk.Rebuild != nil {
				k.body = t.bulk.Rebuild(id)
			}
			if k.body != nil {
				all = append(all, out{m.From, Message{Kind: "gossip", From: t.self, ID: id, Round: k.round + 1, Body: k.body}})
			}
		}
	case "prune":
		if t.eager[m.From] {
			delete(t.eager, m.From)
			t.lazy[m.From] = true
		}
	}
	t.mu.Unlock()
	if news {
		// Taken in before it goes on. What was known already, as to all when one
		// that was away casts what it learns, ends here: the neighbours get its
		// name, and ask if it is new to them.
		fresh := t.got(m.Body)
		t.mu.Lock()
		if fresh {
			all = append(all, t.spread(m.ID, m.Body, m.Round, have...)...)
		} else {
			t.name(m.ID, have...)
		}
		t.mu.Unlock()
	}
	t.flush(all)
}
