// Package plumtree is the gossip tree: news travels whole over eager links and
// by name over lazy ones; a double prunes a link, a missing piece grafts one.
package plumtree

import (
	"fmt"
	"sync"
	"time"
)

// Message is what travels on the tree.
type Message struct {
	Kind  string   `msgpack:"k"` // gossip, ihave, graft, prune
	From  string   `msgpack:"f"` // inner address of the sender
	ID    string   `msgpack:"i,omitempty"`
	Round int      `msgpack:"r,omitempty"`
	IDs   []string `msgpack:"l,omitempty"`
	Body  []byte   `msgpack:"b,omitempty"`
}

type kept struct {
	body  []byte
	round int
	at    time.Time
}

// missing is news heard of but not had yet.
type missing struct {
	since time.Time
	from  []string
}

// Tree is one node's part of the tree. It starts no goroutine: Send hands a
// message out, Take gets one in, and Tick drives the timers.
type Tree struct {
	mu    sync.Mutex
	self  string
	boot  string
	seq   uint64
	eager map[string]bool
	lazy  map[string]bool
	had   map[string]kept
	gap   map[string]*missing
	names map[string][]string // lazy link to the names that wait for it
	wait  time.Duration
	keep  time.Duration
	send  func(to string, m Message)
	got   func(body []byte)
	Count struct{ Eager, Double, Graft, Prune int64 }
}

// New makes a tree. Wait is how long news may be missing before it is grafted,
// keep is how long it can be asked for.
func New(self, boot string, wait, keep time.Duration, send func(string, Message), got func([]byte)) *Tree {
	return &Tree{self: self, boot: boot, eager: map[string]bool{}, lazy: map[string]bool{}, had: map[string]kept{},
		gap: map[string]*missing{}, names: map[string][]string{}, wait: wait, keep: keep, send: send, got: got}
}

// Links sets the overlay neighbours. A new one starts eager.
func (t *Tree) Links(all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := map[string]bool{}
	for _, a := range all {
		if a == t.self {
			continue
		}
		now[a] = true
		if !t.eager[a] && !t.lazy[a] {
			t.eager[a] = true
		}
	}
	for a := range t.eager {
		if !now[a] {
			delete(t.eager, a)
		}
	}
	for a := range t.lazy {
		if !now[a] {
			delete(t.lazy, a)
			delete(t.names, a)
		}
	}
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

// Cast sends own news out.
func (t *Tree) Cast(body []byte) {
	t.mu.Lock()
	t.seq++
	id := fmt.Sprintf("%s/%s/%d", t.self, t.boot, t.seq)
	t.had[id] = kept{body, 0, time.Now()}
	all := t.spread(id, body, 0, "")
	t.mu.Unlock()
	t.flush(all)
}

func (t *Tree) spread(id string, body []byte, round int, but string) []out {
	var all []out
	for a := range t.eager {
		if a != but {
			all = append(all, out{a, Message{Kind: "gossip", From: t.self, ID: id, Round: round + 1, Body: body}})
			t.Count.Eager++
		}
	}
	for a := range t.lazy {
		if a != but {
			t.names[a] = append(t.names[a], id)
		}
	}
	return all
}

// Take handles one message.
func (t *Tree) Take(m Message) {
	var all []out
	var news []byte
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
		t.had[m.ID] = kept{m.Body, m.Round, time.Now()}
		delete(t.gap, m.ID)
		t.warm(m.From)
		all = t.spread(m.ID, m.Body, m.Round, m.From)
		news = m.Body
	case "ihave":
		for _, id := range m.IDs {
			if _, ok := t.had[id]; ok {
				continue
			}
			g := t.gap[id]
			if g == nil {
				g = &missing{since: time.Now()}
				t.gap[id] = g
			}
			g.from = append(g.from, m.From)
		}
	case "graft":
		t.warm(m.From)
		for _, id := range m.IDs {
			if k, ok := t.had[id]; ok {
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
	if news != nil {
		t.got(news)
	}
	t.flush(all)
}

// warm makes a known link eager.
func (t *Tree) warm(a string) {
	if t.lazy[a] {
		delete(t.lazy, a)
		t.eager[a] = true
	}
}

// Tick sends the waiting names, grafts what is missing for too long and
// forgets what is old.
func (t *Tree) Tick() {
	var all []out
	now := time.Now()
	t.mu.Lock()
	for a, ids := range t.names {
		all = append(all, out{a, Message{Kind: "ihave", From: t.self, IDs: ids}})
		delete(t.names, a)
	}
	ask := map[string][]string{}
	for id, g := range t.gap {
		if now.Sub(g.since) < t.wait {
			continue
		}
		// Each wait the next one that named it is asked; with none left,
		// repair finds it.
		if len(g.from) == 0 {
			delete(t.gap, id)
			continue
		}
		ask[g.from[0]] = append(ask[g.from[0]], id)
		g.from, g.since = g.from[1:], now
	}
	for a, ids := range ask {
		t.warm(a)
		t.Count.Graft++
		all = append(all, out{a, Message{Kind: "graft", From: t.self, IDs: ids}})
	}
	for id, k := range t.had {
		if now.Sub(k.at) > t.keep {
			delete(t.had, id)
		}
	}
	t.mu.Unlock()
	t.flush(all)
}

// Shape counts the links by kind.
func (t *Tree) Shape() (eager, lazy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.eager), len(t.lazy)
}
