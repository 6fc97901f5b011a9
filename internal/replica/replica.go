// Package replica is each node's copy of the service registry: its OR-Map, gossip of
// deltas, lookups, change events, refill of an empty copy, and anti-entropy repair.
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

// Event is a change of an entry; its kind is registered, unregistered, down or departed. For the
// last one only the entry's worker is set: the worker is newly known to be gone for good.
type Event struct {
	Kind   string
	Entry  ormap.Entry
	Reason string
}

// Replica is one node's copy of the registry. Lock order: registerMu, mu, the map's lock.
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
	neighbors    map[string]bool          // overlay neighbors as node#incarnation
	index        map[string][]ormap.Entry // service to its entries by dot; slices are never modified
	repairRound  int
	stateCache   struct {
		sync.Mutex
		encodedAt time.Time
		delta     ormap.Delta // the full state at encodedAt, in compact form
	}
	refillPending bool      // no refill has completed yet
	completeUntil time.Time // time until which the node certainly counts as connected
	budget        *transferBudget
	RepairCount   int64 // repairs that found differences; guarded by mu
}

// New creates an empty replica and registers its message handlers and periodic tasks.
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
	// In its own goroutine: a dial to a dead peer must not delay other messages.
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

// apply merges a delta and notifies the subscribers. With broadcast set, it also gossips
// what was new, as needed for deltas that did not arrive by gossip. It returns false if
// nothing was new.
func (r *Replica) apply(d ormap.Delta, broadcast bool) bool {
	fresh, removed := r.merge(d)
	if broadcast {
		r.broadcast(fresh, removed)
	}
	return !fresh.Empty()
}

// merge merges a delta and notifies the subscribers. It returns what was new and the
// entries that were removed.
func (r *Replica) merge(d ormap.Delta) (ormap.Delta, []ormap.Entry) {
	reasons := map[ormap.Dot]string{}
	for _, tombstone := range d.Tombstones {
		r.clock.Observe(tombstone.Dot.Stamp)
	}
	for _, e := range d.Adds {
		r.clock.Observe(e.Dot.Stamp)
	}
	// Under one lock, so that the index sees concurrent merges in the map's order.
	r.mu.Lock()
	fresh, added, removed := r.entries.Merge(d)
	r.updateIndex(added, removed)
	subscribers := r.subscribers
	r.mu.Unlock()
	departed := map[string]string{}
	for _, tombstone := range fresh.Tombstones {
		reasons[tombstone.Dot] = tombstone.Reason
		if tombstone.Worker != "" {
			departed[tombstone.Worker] = tombstone.Reason
		}
	}
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
	for worker, reason := range departed {
		r.notify(subscribers, Event{"departed", ormap.Entry{Worker: worker}, reason})
	}
	return fresh, removed
}

func (r *Replica) notify(subscribers []func(Event), event Event) {
	for _, subscriber := range subscribers {
		subscriber(event)
	}
}

// Subscribe adds a function to call with each event.
func (r *Replica) Subscribe(subscriber func(Event)) {
	r.mu.Lock()
	r.subscribers = append(r.subscribers, subscriber)
	r.mu.Unlock()
}

// SetMembers sets the members of the cluster.
func (r *Replica) SetMembers(members *membership.List) {
	neighbors := members.Neighbors(r.self.Node)
	r.mu.Lock()
	// Many nodes that join at once are still announcing their entries; an immediate
	// repair would transfer entries in flight over each link again.
	burst := members.Len()-r.peers.Len() > plumtree.MaxEagerBurst
	r.peers = members
	previous := r.neighbors
	r.neighbors = map[string]bool{}
	var addrs, added []string
	for _, peer := range neighbors {
		addrs = append(addrs, peer.InternalAddr)
		key := peer.Node + "#" + peer.Incarnation
		r.neighbors[key] = true
		// One end of a new link starts the repair.
		if !previous[key] && r.self.Node < peer.Node {
			added = append(added, peer.InternalAddr)
		}
	}
	r.mu.Unlock()
	r.tree.SetNeighbors(addrs)
	// Items gossiped before a link existed were not sent over it.
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

// Collect drops tombstones older than the tombstone TTL and returns their number.
func (r *Replica) Collect() int { return r.entries.Collect(r.tombstoneTTL) }

// Map returns the underlying map, for reading.
func (r *Replica) Map() *ormap.Map { return r.entries }

// Tree returns the gossip tree, for reading its counters.
func (r *Replica) Tree() *plumtree.Tree { return r.tree }

// Services returns the sorted names of the services that have entries.
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
