package replica

import "puffincrank/internal/ormap"

// Register adds an entry of this node with a new dot and removes older observed entries
// of the worker in the same delta. Registrations are serialized: concurrent ones would
// not observe each other and leave two entries.
func (r *Replica) Register(service, worker string, meta map[string]string) ormap.Entry {
	r.registerMu.Lock()
	defer r.registerMu.Unlock()
	e := ormap.Entry{Dot: ormap.Dot{Node: r.dotNode, Stamp: r.clock.Now()}, Service: service, Worker: worker,
		Owner: r.self.Node, InternalAddr: r.self.InternalAddr, Zone: r.self.Zone, Meta: meta}
	d := r.entries.RemovalDelta("again", func(other ormap.Entry) bool { return other.Worker == worker && other.Owner == r.self.Node })
	d.Adds = []ormap.Entry{e}
	r.apply(d, true)
	return e
}

// Remove tombstones the observed entries of a worker of this node.
func (r *Replica) Remove(worker, reason string) {
	r.apply(r.entries.RemovalDelta(reason, func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node }), true)
}

// SignOffWorker removes a worker's registrations and announces that the worker has left for good.
func (r *Replica) SignOffWorker(worker, reason string) {
	r.registerMu.Lock()
	defer r.registerMu.Unlock()
	r.apply(r.entries.DepartureDelta(worker, reason, func() ormap.Dot { return ormap.Dot{Node: r.dotNode, Stamp: r.clock.Now()} }), true)
}

// EntriesOf returns the registrations of a worker at this node, and the tombstones that
// mark the worker as gone for good.
func (r *Replica) EntriesOf(worker string) ormap.Delta {
	live := r.entries.Live(func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node })
	return ormap.Delta{Adds: live, Tombstones: r.entries.Departures(worker)}
}

// Accept merges a delta that a node sent about its worker, and gossips what was new.
func (r *Replica) Accept(d ormap.Delta) { r.apply(d, true) }

// RetireNode tombstones the selected entries of a dead node and returns their number.
func (r *Replica) RetireNode(node string, pick func(ormap.Entry) bool) int {
	d := r.entries.RemovalDelta("retired", func(e ormap.Entry) bool { return e.Owner == node && pick(e) })
	r.apply(d, true)
	return len(d.Tombstones)
}
