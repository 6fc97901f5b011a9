package ormap

import (
	"maps"
	"slices"
	"sync"
)

// Pool holds what many replicas of one process have alike once: a mesh of
// thousands in one process would hold each entry thousands of times. A replica
// without one, as in a node's own process, holds its own.
type Pool struct {
	mu      sync.Mutex
	entries map[Dot]*Entry
	lists   map[string][]Entry
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{entries: map[Dot]*Entry{}, lists: map[string][]Entry{}} }

// SetPool sets the pool of a replica that is still empty.
func (m *Map) SetPool(p *Pool) { m.pool = p }

func entriesEqual(a, b *Entry) bool {
	return a.Dot == b.Dot && a.Service == b.Service && a.Worker == b.Worker && a.Owner == b.Owner && a.InternalAddr == b.InternalAddr && a.Zone == b.Zone && maps.Equal(a.Meta, b.Meta)
}

// intern gives the entry as it is held.
func (p *Pool) intern(e Entry) *Entry {
	if p == nil {
		return &e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.entries[e.Dot]; existing != nil && entriesEqual(existing, &e) {
		return existing
	}
	p.entries[e.Dot] = &e
	return &e
}

// SharedList gives a service's entries as they are held; all stand in the order of
// their dots and are not changed any more.
func (m *Map) SharedList(service string, entries []Entry) []Entry {
	p := m.pool
	if p == nil {
		return entries
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.EqualFunc(p.lists[service], entries, func(a, b Entry) bool { return entriesEqual(&a, &b) }) {
		return p.lists[service]
	}
	p.lists[service] = entries
	return entries
}
