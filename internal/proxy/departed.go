package proxy

import (
	"puffincrank/internal/ormap"
	"puffincrank/internal/replica"
)

// Offered returns the entries of a service by which this node picks workers. They must not be
// modified.
func (x *Proxy) Offered(service string) []ormap.Entry { return x.replica.Lookup(service) }

// OnRegistryChange adds a function to call after each change of this node's registry.
func (x *Proxy) OnRegistryChange(changed func()) {
	x.replica.Subscribe(func(replica.Event) { changed() })
}

// DepartedInUse lists the workers that this node offers, or admits requests to, although its
// registry says that they have left for good. There must never be any.
func (x *Proxy) DepartedInUse() []string {
	var inUse []string
	departed := x.replica.Map().DepartedWorkers()
	if len(departed) == 0 {
		return nil
	}
	for _, entry := range x.replica.Map().Live(func(e ormap.Entry) bool { return departed[e.Worker] }) {
		inUse = append(inUse, entry.Worker)
	}
	for _, local := range x.allWorkers() {
		if departed[local.id] && x.accepts(local) {
			inUse = append(inUse, local.id)
		}
	}
	return inUse
}
