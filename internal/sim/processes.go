package sim

import (
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/standin"
	"puffincrank/internal/store"
)

// now returns the running processes of a node, nil for those that are down.
func (f *Fleet) now(n *Node) (*proxy.Proxy, *standin.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.Proxy, n.Worker
}

// cores returns a copy of the list of control-plane machines.
func (f *Fleet) cores() []*Core {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Core(nil), f.Cores...)
}

// runs returns the running processes of a control-plane machine, nil for those that are
// down.
func (f *Fleet) runs(c *Core) (*store.Store, *registry.Registry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.Store, c.Registry
}

// place replaces a lost control-plane machine with a new one.
func (f *Fleet) place(i int, c *Core) {
	f.mu.Lock()
	f.Cores[i] = c
	f.mu.Unlock()
}
