package ormap

import (
	"maps"
	"slices"
	"sync"
)

// Pool shares equal entries and lists between the replicas of one process, as in a
// simulated cluster, where thousands of replicas would each hold a copy of every entry. A
// replica without a pool, as in a node's own process, holds its own.
type Pool struct {
	mu      sync.Mutex
	entries map[Dot]*Entry
	lists   map[string][]Entry
}

// NewPool creates an empty pool.
func NewPool() *Pool { return &Pool{entries: map[Dot]*Entry{}, lists: map[string][]Entry{}} }

// SetPool sets the pool of a replica. The replica must be empty.
func (m *Map) SetPool(p *Pool) { m.pool = p }

func entriesEqual(a, b *Entry) bool {
	return a.Dot == b.Dot && a.Service == b.Service && a.Worker == b.Worker && a.Owner == b.Owner && a.InternalAddr == b.InternalAddr && a.Zone == b.Zone && maps.Equal(a.Meta, b.Meta)
}

// intern returns the shared copy of an entry. Without a pool it returns the entry itself.
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

// SharedList returns the shared copy of the list of a service's entries. The list must be
// in the order of the dots and must not be modified any more.
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
