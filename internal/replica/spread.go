package replica

import (
	"context"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ormap"
	"puffincrank/internal/plumtree"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// piece is one piece of news and its name.
type piece struct {
	id   string
	what ormap.Delta
}

func named(kind string, d ormap.Dot) string { return kind + strconv.FormatUint(d.Hash(), 36) }

// pieces cuts news up for the gossip, each entry and each grave by itself and
// under a name made of its dot: however many nodes learn of one at the same
// time by repair, as all do after a cut, it goes over the tree once. The grave
// of an entry that a worker's newer one replaces goes with that, so that the
// worker is never out of the list between the two. A grave of what was not
// known here stays here: it stands in for an add that may still come.
func pieces(news ormap.Delta, removed []ormap.Entry) []piece {
	graves := map[ormap.Dot]ormap.Tombstone{}
	for _, g := range news.Tombstones {
		graves[g.Dot] = g
	}
	of := map[string][]ormap.Tombstone{}
	for _, e := range removed {
		if g, ok := graves[e.Dot]; ok {
			of[e.Worker] = append(of[e.Worker], g)
		}
	}
	var out []piece
	for _, e := range news.Adds {
		out = append(out, piece{named("a", e.Dot), ormap.Delta{Adds: []ormap.Entry{e}, Tombstones: of[e.Worker]}})
		delete(of, e.Worker)
	}
	for _, list := range of {
		for _, g := range list {
			out = append(out, piece{named("d", g.Dot), ormap.Delta{Tombstones: []ormap.Tombstone{g}}})
		}
	}
	return out
}

func (r *Replica) spread(news ormap.Delta, removed []ormap.Entry) {
	for _, p := range pieces(news, removed) {
		if body, err := msgpack.Marshal(p.what); err == nil {
			r.tree.Broadcast(p.id, body)
		}
	}
}

// AnnounceOwn names the own entries to the neighbours.
func (r *Replica) AnnounceOwn() {
	for _, e := range r.m.Live(func(e ormap.Entry) bool { return e.Dot.Node == r.dot }) {
		r.tree.Announce(named("a", e.Dot))
	}
}

// soon sends the names of many pieces that came at once a part of a beat later,
// with those that come meanwhile.
func (r *Replica) soon() {
	r.g.Go("gossip-soon", func(ctx context.Context) {
		task.Sleep(ctx, r.beat/8)
		r.tree.Flush()
	})
}

// late has the tree ask for what is missing before its next tick.
func (r *Replica) late() {
	r.g.Go("gossip-late", func(ctx context.Context) {
		task.Sleep(ctx, r.beat/2)
		r.tree.Graft()
	})
}

// give bundles pieces for a fellow that named them.
func (r *Replica) give(ids []string, bodies [][]byte) []byte {
	var all ormap.Delta
	var want []uint64
	for i, id := range ids {
		var d ormap.Delta
		if bodies[i] != nil && transport.Decode(bodies[i], &d) == nil {
			all.Adds, all.Tombstones = append(all.Adds, d.Adds...), append(all.Tombstones, d.Tombstones...)
		} else if h, ok := number(id); ok {
			want = append(want, h)
		}
	}
	d := r.m.Answer(want, nil)
	all.Adds, all.Tombstones = append(all.Adds, d.Adds...), append(all.Tombstones, d.Tombstones...)
	return all.Encode().Compact
}

// got takes in a bundle. Only what replaces another entry is kept as it came;
// anything else is made anew from the map when a fellow asks for it.
func (r *Replica) got(bundle []byte) []plumtree.Item {
	d, err := ormap.Delta{Compact: bundle}.Decode()
	if err != nil {
		return nil
	}
	var out []plumtree.Item
	for _, p := range pieces(r.merge(d)) {
		var body []byte
		if len(p.what.Adds) > 0 && len(p.what.Tombstones) > 0 {
			body, _ = msgpack.Marshal(p.what)
		}
		out = append(out, plumtree.Item{ID: p.id, Body: body})
	}
	return out
}

// find makes a piece anew, nil when nothing is known of it.
func (r *Replica) find(id string) []byte {
	h, ok := number(id)
	if !ok {
		return nil
	}
	d := r.m.Answer([]uint64{h}, nil)
	if d.Empty() {
		return nil
	}
	body, _ := msgpack.Marshal(d)
	return body
}

// number is the hash of the dot that a piece is named by.
func number(id string) (uint64, bool) {
	if len(id) < 2 {
		return 0, false
	}
	h, err := strconv.ParseUint(id[1:], 36, 64)
	return h, err == nil
}

// knows tells whether a piece of gossip is in the replica, by its name: an
// entry that is there or was, a grave that is there.
func (r *Replica) knows(id string) bool {
	h, ok := number(id)
	if !ok {
		return false
	}
	live, dead := r.m.Knows(h)
	return dead || live && id[0] == 'a'
}
