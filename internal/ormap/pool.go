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
	mu    sync.Mutex
	all   map[Dot]*Entry
	lists map[string][]Entry
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{all: map[Dot]*Entry{}, lists: map[string][]Entry{}} }

// SetPool sets the pool of a replica that is still empty.
func (m *Map) SetPool(p *Pool) { m.pool = p }

func alike(a, b *Entry) bool {
	return a.Dot == b.Dot && a.Service == b.Service && a.Worker == b.Worker && a.Owner == b.Owner && a.InternalAddr == b.InternalAddr && a.Zone == b.Zone && maps.Equal(a.Meta, b.Meta)
}

// one gives the entry as it is held.
func (p *Pool) one(e Entry) *Entry {
	if p == nil {
		return &e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if was := p.all[e.Dot]; was != nil && alike(was, &e) {
		return was
	}
	p.all[e.Dot] = &e
	return &e
}

// List gives a service's entries as they are held; all stand in the order of
// their dots and are not changed any more.
func (m *Map) List(service string, all []Entry) []Entry {
	p := m.pool
	if p == nil {
		return all
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.EqualFunc(p.lists[service], all, func(a, b Entry) bool { return alike(&a, &b) }) {
		return p.lists[service]
	}
	p.lists[service] = all
	return all
}
