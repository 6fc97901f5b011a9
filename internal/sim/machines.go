package sim

import (
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/standin"
	"puffincrank/internal/store"
)

// now tells which processes of a node run.
func (f *Fleet) now(n *Node) (*proxy.Proxy, *standin.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.Proxy, n.Worker
}

// cores lists the core machines of now.
func (f *Fleet) cores() []*Core {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Core(nil), f.Cores...)
}

// runs tells which processes of a core machine run.
func (f *Fleet) runs(c *Core) (*store.Store, *registry.Registry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.Store, c.Registry
}

// place puts a new core machine in a lost one's place.
func (f *Fleet) place(i int, c *Core) {
	f.mu.Lock()
	f.Cores[i] = c
	f.mu.Unlock()
}
