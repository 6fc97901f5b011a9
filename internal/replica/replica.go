// Package replica is the service registry that runs inside every node: its
// OR-Map, the deltas over the gossip tree, the lookups, the events, and repair.
package replica

import (
	"context"
	"sort"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/membership"
	"puffincrank/internal/ormap"
	"puffincrank/internal/plumtree"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// Event is what subscribers hear: registered, unregistered or down.
type Event struct {
	Kind   string
	Entry  ormap.Entry
	Reason string
}

// Replica is one node's copy. Lock order: mu before the map's own lock.
type Replica struct {
	self         membership.Member
	node         *transport.Node
	tasks        *task.Group
	log          *event.Log
	clock        *hlc.Clock
	entries      *ormap.Map
	tree         *plumtree.Tree
	dotNode      string
	heartbeat    time.Duration
	tombstoneTTL time.Duration
	registerMu   sync.Mutex // one registration at a time; taken before mu
	mu           sync.Mutex
	subscribers  []func(Event)
	peers        *membership.List
	neighbors    map[string]bool          // the fellows of the overlay, with their starts
	index        map[string][]ormap.Entry // service to its entries by dot; a slice is never changed
	repairRound  int
	stateCache   struct {
		sync.Mutex
		at  time.Time
		all ormap.Delta // all of the map then, packed
	}
	refillPending bool      // the refill has not come yet
	completeUntil time.Time // until when it is in touch with the mesh, for certain
	budget        *transferBudget
	RepairCount   int64
}

// New makes an empty replica; Start opens it to the fellows.
func New(self membership.Member, node *transport.Node, tasks *task.Group, log *event.Log, clock *hlc.Clock, heartbeat, repairInterval, tombstoneTTL time.Duration) *Replica {
	r := &Replica{self: self, node: node, tasks: tasks, log: log, clock: clock, entries: ormap.New(), dotNode: self.Node + "#" + self.Incarnation, heartbeat: heartbeat, tombstoneTTL: tombstoneTTL, index: map[string][]ormap.Entry{}, peers: &membership.List{}}
	r.budget = newTransferBudget(self.Role, node.MaxFrameBytes, heartbeat)
	r.tree = plumtree.New(self.InternalAddr, heartbeat, 50*heartbeat, r.sendGossip, r.receiveGossip, r.knowsItem)
	r.tree.SetBatching(plumtree.Batching{RequestFlush: r.scheduleFlush, RequestGraft: r.scheduleGraft, Encode: r.encodeItems, Decode: r.decodeItems, Rebuild: r.rebuildItem})
	transport.Handle(node, "gossip", func(_ context.Context, _ transport.Hello, m plumtree.Message) (struct{}, error) {
		r.tree.Receive(m)
		return struct{}{}, nil
	})
	transport.Handle(node, "replica.all", r.handleState)
	transport.Handle(node, "replica.fill", r.handleRefill)
	transport.Handle(node, "replica.digest", r.handleDigest)
	transport.Handle(node, "replica.swap", r.handleExchange)
	transport.Handle(node, "replica.mend", func(_ context.Context, _ transport.Hello, d ormap.Delta) (struct{}, error) {
		r.apply(d, true)
		return struct{}{}, nil
	})
	tasks.Every("gossip-tick", heartbeat, func(context.Context) { r.tree.Tick() })
	tasks.Every("repair", repairInterval, r.repair)
	return r
}

func (r *Replica) sendGossip(to string, message plumtree.Message) {
	// From its own goroutine: a dial to a dead fellow must not hold up the rest.
	r.tasks.Go("gossip-send", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 5*r.heartbeat)
		defer cancel()
		_ = r.node.Send(ctx, to, "gossip", message)
	})
}

func (r *Replica) receiveGossip(body []byte) bool {
	var d ormap.Delta
	return transport.Decode(body, &d) == nil && r.apply(d, false)
}

// apply merges a delta, tells the subscribers, and gossips on what came by
// another way than the tree; false means that nothing of it was new.
func (r *Replica) apply(d ormap.Delta, broadcast bool) bool {
	fresh, removed := r.merge(d)
	if broadcast {
		r.broadcast(fresh, removed)
	}
	return !fresh.Empty()
}

// merge takes in a delta and tells the subscribers; given back are what was new
// and the entries that are removed by it.
func (r *Replica) merge(d ormap.Delta) (ormap.Delta, []ormap.Entry) {
	reasons := map[ormap.Dot]string{}
	for _, tombstone := range d.Tombstones {
		reasons[tombstone.Dot] = tombstone.Reason
		r.clock.Observe(tombstone.Dot.Stamp)
	}
	for _, e := range d.Adds {
		r.clock.Observe(e.Dot.Stamp)
	}
	// Both at once: the index must not see two merges in another order than
	// the map did.
	r.mu.Lock()
	fresh, added, removed := r.entries.Merge(d)
	r.updateIndex(added, removed)
	subscribers := r.subscribers
	r.mu.Unlock()
	for _, e := range added {
		r.notify(subscribers, Event{"registered", e, ""})
	}
	for _, e := range removed {
		kind := "unregistered"
		if reasons[e.Dot] == "down" || reasons[e.Dot] == "retired" {
			kind = "down"
		}
		r.notify(subscribers, Event{kind, e, reasons[e.Dot]})
	}
	return fresh, removed
}

func (r *Replica) notify(subscribers []func(Event), event Event) {
	for _, subscriber := range subscribers {
		subscriber(event)
	}
}

// Subscribe adds a listener of events.
func (r *Replica) Subscribe(subscriber func(Event)) {
	r.mu.Lock()
	r.subscribers = append(r.subscribers, subscriber)
	r.mu.Unlock()
}

// Register inserts an entry of this node with a fresh dot. Older entries of
// the same worker that were observed here go in the same delta. Two at once
// would not observe each other and leave two entries, so they take turns.
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

// Remove buries the observed entries of a worker of this node.
func (r *Replica) Remove(worker, reason string) {
	r.apply(r.entries.RemovalDelta(reason, func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node }), true)
}

// SignOffWorker removes a worker's registrations of this node and tells all that the
// worker is gone for good. Where none is known there is nothing to tell by; false
// means that.
func (r *Replica) SignOffWorker(worker, reason string) bool {
	d := r.entries.DepartureDelta(worker, reason, func(e ormap.Entry) bool { return e.Owner == r.self.Node })
	r.apply(d, true)
	return len(d.Tombstones) > 0
}

// EntriesOf gives what is known of a worker of this node: its registrations, and
// that it is gone for good.
func (r *Replica) EntriesOf(worker string) ormap.Delta {
	live := r.entries.Live(func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node })
	return ormap.Delta{Adds: live, Tombstones: r.entries.Departures(worker)}
}

// Accept takes in what a node says of its worker, and spreads what was news.
func (r *Replica) Accept(d ormap.Delta) { r.apply(d, true) }

// RetireNode buries the observed entries of a dead node; the count is given back.
func (r *Replica) RetireNode(node string, pick func(ormap.Entry) bool) int {
	d := r.entries.RemovalDelta("retired", func(e ormap.Entry) bool { return e.Owner == node && pick(e) })
	r.apply(d, true)
	return len(d.Tombstones)
}

// SetMembers sets the mesh's nodes.
func (r *Replica) SetMembers(members *membership.List) {
	neighbors := members.Neighbors(r.self.Node)
	r.mu.Lock()
	// Many that come at once are still telling of themselves: what is on its
	// way would be found to differ over each link.
	burst := members.Len()-r.peers.Len() > plumtree.MaxEagerBurst
	r.peers = members
	previous := r.neighbors
	r.neighbors = map[string]bool{}
	var addrs, added []string
	for _, peer := range neighbors {
		addrs = append(addrs, peer.InternalAddr)
		key := peer.Node + "#" + peer.Incarnation
		r.neighbors[key] = true
		// One of the two is enough.
		if !previous[key] && r.self.Node < peer.Node {
			added = append(added, peer.InternalAddr)
		}
	}
	r.mu.Unlock()
	r.tree.SetNeighbors(addrs)
	// What was told before a link stood did not go over it.
	for _, addr := range added {
		r.tasks.Go("mend-link", func(ctx context.Context) {
			if burst {
				task.Sleep(ctx, 3*r.heartbeat)
			}
			ctx, cancel := context.WithTimeout(ctx, 5*r.heartbeat)
			defer cancel()
			_ = r.Repair(ctx, addr)
		})
	}
}

// Collect drops old tombstones.
func (r *Replica) Collect() int { return r.entries.Collect(r.tombstoneTTL) }

// Map gives the replica itself, to read.
func (r *Replica) Map() *ormap.Map { return r.entries }

// Tree gives the gossip tree, to read its counts.
func (r *Replica) Tree() *plumtree.Tree { return r.tree }

// Services lists the names that have entries.
func (r *Replica) Services() []string {
	seen := map[string]bool{}
	var names []string
	for _, e := range r.entries.Live(nil) {
		if !seen[e.Service] {
			seen[e.Service] = true
			names = append(names, e.Service)
		}
	}
	sort.Strings(names)
	return names
}
