package sim

import (
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/standin"
	"puffincrank/internal/store"
)

// processesOf returns the running processes of a node, nil for those that are down.
func (f *Fleet) processesOf(n *Node) (*proxy.Proxy, *standin.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.Proxy, n.Worker
}

// controlMachines returns a copy of the list of control-plane machines.
func (f *Fleet) controlMachines() []*ControlMachine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*ControlMachine(nil), f.ControlMachines...)
}

// controlProcessesOf returns the running processes of a control-plane machine, nil for those that are
// down.
func (f *Fleet) controlProcessesOf(c *ControlMachine) (*store.Store, *registry.Registry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.Store, c.Registry
}

// replaceControlMachine replaces a lost control-plane machine with a new one.
func (f *Fleet) replaceControlMachine(i int, c *ControlMachine) {
	f.mu.Lock()
	f.ControlMachines[i] = c
	f.mu.Unlock()
}
