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
	self  membership.Member
	n     *transport.Node
	g     *task.Group
	log   *event.Log
	clock *hlc.Clock
	m     *ormap.Map
	tree  *plumtree.Tree
	dot   string
	beat  time.Duration
	bury  time.Duration
	reg   sync.Mutex // one registration at a time; taken before mu
	mu    sync.Mutex
	subs  []func(Event)
	peers *membership.List
	links map[string]bool          // the fellows of the overlay, with their starts
	index map[string][]ormap.Entry // service to its entries by dot; a slice is never changed
	turn  int
	full  struct {
		sync.Mutex
		at  time.Time
		all ormap.Delta // all of the map then, packed
	}
	await       bool      // the refill has not come yet
	good        time.Time // until when it is in touch with the mesh, for certain
	pace        *pace
	RepairCount int64
}

// New makes an empty replica; Start opens it to the fellows.
func New(self membership.Member, n *transport.Node, g *task.Group, log *event.Log, clock *hlc.Clock, beat, repair, bury time.Duration) *Replica {
	r := &Replica{self: self, n: n, g: g, log: log, clock: clock, m: ormap.New(), dot: self.Node + "#" + self.Incarnation, beat: beat, bury: bury, index: map[string][]ormap.Entry{}, peers: &membership.List{}}
	r.pace = newPace(self.Role, n.MaxFrameBytes, beat)
	r.tree = plumtree.New(self.InternalAddr, beat, 50*beat, r.send, r.hear, r.knows)
	r.tree.SetBatching(plumtree.Batching{RequestFlush: r.soon, RequestGraft: r.late, Encode: r.give, Decode: r.got, Rebuild: r.find})
	transport.Handle(n, "gossip", func(_ context.Context, _ transport.Hello, m plumtree.Message) (struct{}, error) {
		r.tree.Receive(m)
		return struct{}{}, nil
	})
	transport.Handle(n, "replica.all", r.onAll)
	transport.Handle(n, "replica.fill", r.onFill)
	transport.Handle(n, "replica.digest", r.onDigest)
	transport.Handle(n, "replica.swap", r.onSwap)
	transport.Handle(n, "replica.mend", func(_ context.Context, _ transport.Hello, d ormap.Delta) (struct{}, error) {
		r.take(d, true)
		return struct{}{}, nil
	})
	g.Every("gossip-tick", beat, func(context.Context) { r.tree.Tick() })
	g.Every("repair", repair, r.repair)
	return r
}

func (r *Replica) send(to string, m plumtree.Message) {
	// From its own goroutine: a dial to a dead fellow must not hold up the rest.
	r.g.Go("gossip-send", func(ctx context.Context) {
		ctx, end := context.WithTimeout(ctx, 5*r.beat)
		defer end()
		_ = r.n.Send(ctx, to, "gossip", m)
	})
}

func (r *Replica) hear(body []byte) bool {
	var d ormap.Delta
	return transport.Decode(body, &d) == nil && r.take(d, false)
}

// take merges a delta, tells the subscribers, and gossips on what came by
// another way than the tree; false means that nothing of it was new.
func (r *Replica) take(d ormap.Delta, spread bool) bool {
	news, removed := r.merge(d)
	if spread {
		r.spread(news, removed)
	}
	return !news.Empty()
}

// merge takes in a delta and tells the subscribers; given back are what was new
// and the entries that are removed by it.
func (r *Replica) merge(d ormap.Delta) (ormap.Delta, []ormap.Entry) {
	why := map[ormap.Dot]string{}
	for _, g := range d.Tombstones {
		why[g.Dot] = g.Reason
		r.clock.Observe(g.Dot.Stamp)
	}
	for _, e := range d.Adds {
		r.clock.Observe(e.Dot.Stamp)
	}
	// Both at once: the index must not see two merges in another order than
	// the map did.
	r.mu.Lock()
	news, added, removed := r.m.Merge(d)
	r.indexed(added, removed)
	subs := r.subs
	r.mu.Unlock()
	for _, e := range added {
		r.tell(subs, Event{"registered", e, ""})
	}
	for _, e := range removed {
		kind := "unregistered"
		if why[e.Dot] == "down" || why[e.Dot] == "retired" {
			kind = "down"
		}
		r.tell(subs, Event{kind, e, why[e.Dot]})
	}
	return news, removed
}

func (r *Replica) tell(subs []func(Event), n Event) {
	for _, f := range subs {
		f(n)
	}
}

// Subscribe adds a listener of events.
func (r *Replica) Subscribe(f func(Event)) {
	r.mu.Lock()
	r.subs = append(r.subs, f)
	r.mu.Unlock()
}

// Register inserts an entry of this node with a fresh dot. Older entries of
// the same worker that were observed here go in the same delta. Two at once
// would not observe each other and leave two entries, so they take turns.
func (r *Replica) Register(service, worker string, meta map[string]string) ormap.Entry {
	r.reg.Lock()
	defer r.reg.Unlock()
	e := ormap.Entry{Dot: ormap.Dot{Node: r.dot, Stamp: r.clock.Now()}, Service: service, Worker: worker,
		Owner: r.self.Node, InternalAddr: r.self.InternalAddr, Zone: r.self.Zone, Meta: meta}
	d := r.m.RemovalDelta("again", func(o ormap.Entry) bool { return o.Worker == worker && o.Owner == r.self.Node })
	d.Adds = []ormap.Entry{e}
	r.take(d, true)
	return e
}

// Remove buries the observed entries of a worker of this node.
func (r *Replica) Remove(worker, why string) {
	r.take(r.m.RemovalDelta(why, func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node }), true)
}

// SignOffWorker removes a worker's registrations of this node and tells all that the
// worker is gone for good. Where none is known there is nothing to tell by; false
// means that.
func (r *Replica) SignOffWorker(worker, why string) bool {
	d := r.m.DepartureDelta(worker, why, func(e ormap.Entry) bool { return e.Owner == r.self.Node })
	r.take(d, true)
	return len(d.Tombstones) > 0
}

// EntriesOf gives what is known of a worker of this node: its registrations, and
// that it is gone for good.
func (r *Replica) EntriesOf(worker string) ormap.Delta {
	live := r.m.Live(func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node })
	return ormap.Delta{Adds: live, Tombstones: r.m.Departures(worker)}
}

// Accept takes in what a node says of its worker, and spreads what was news.
func (r *Replica) Accept(d ormap.Delta) { r.take(d, true) }

// RetireNode buries the observed entries of a dead node; the count is given back.
func (r *Replica) RetireNode(node string, pick func(ormap.Entry) bool) int {
	d := r.m.RemovalDelta("retired", func(e ormap.Entry) bool { return e.Owner == node && pick(e) })
	r.take(d, true)
	return len(d.Tombstones)
}

// SetMembers sets the mesh's nodes.
func (r *Replica) SetMembers(all *membership.List) {
	links := all.Neighbors(r.self.Node)
	r.mu.Lock()
	// Many that come at once are still telling of themselves: what is on its
	// way would be found to differ over each link.
	crowd := all.Len()-r.peers.Len() > plumtree.MaxEagerBurst
	r.peers = all
	was := r.links
	r.links = map[string]bool{}
	var to, fresh []string
	for _, f := range links {
		to = append(to, f.InternalAddr)
		mark := f.Node + "#" + f.Incarnation
		r.links[mark] = true
		// One of the two is enough.
		if !was[mark] && r.self.Node < f.Node {
			fresh = append(fresh, f.InternalAddr)
		}
	}
	r.mu.Unlock()
	r.tree.SetNeighbors(to)
	// What was told before a link stood did not go over it.
	for _, a := range fresh {
		r.g.Go("mend-link", func(ctx context.Context) {
			if crowd {
				task.Sleep(ctx, 3*r.beat)
			}
			ctx, end := context.WithTimeout(ctx, 5*r.beat)
			defer end()
			_ = r.Repair(ctx, a)
		})
	}
}

// Collect drops old tombstones.
func (r *Replica) Collect() int { return r.m.Collect(r.bury) }

// Map gives the replica itself, to read.
func (r *Replica) Map() *ormap.Map { return r.m }

// Tree gives the gossip tree, to read its counts.
func (r *Replica) Tree() *plumtree.Tree { return r.tree }

// Services lists the names that have entries.
func (r *Replica) Services() []string {
	seen := map[string]bool{}
	var out []string
	for _, e := range r.m.Live(nil) {
		if !seen[e.Service] {
			seen[e.Service] = true
			out = append(out, e.Service)
		}
	}
	sort.Strings(out)
	return out
}
