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

// gossipItem is one piece of news and its name.
type gossipItem struct {
	id    string
	delta ormap.Delta
}

func itemID(kind string, dot ormap.Dot) string { return kind + strconv.FormatUint(dot.Hash(), 36) }

// splitItems cuts news up for the gossip, each entry and each grave by itself and
// under a name made of its dot: however many nodes learn of one at the same
// time by repair, as all do after a cut, it goes over the tree once. The grave
// of an entry that a worker's newer one replaces goes with that, so that the
// worker is never out of the list between the two. A grave of what was not
// known here stays here: it stands in for an add that may still come.
func splitItems(fresh ormap.Delta, removed []ormap.Entry) []gossipItem {
	tombstones := map[ormap.Dot]ormap.Tombstone{}
	for _, tombstone := range fresh.Tombstones {
		tombstones[tombstone.Dot] = tombstone
	}
	byWorker := map[string][]ormap.Tombstone{}
	for _, entry := range removed {
		if tombstone, ok := tombstones[entry.Dot]; ok {
			byWorker[entry.Worker] = append(byWorker[entry.Worker], tombstone)
		}
	}
	var items []gossipItem
	for _, entry := range fresh.Adds {
		items = append(items, gossipItem{itemID("a", entry.Dot), ormap.Delta{Adds: []ormap.Entry{entry}, Tombstones: byWorker[entry.Worker]}})
		delete(byWorker, entry.Worker)
	}
	for _, remaining := range byWorker {
		for _, tombstone := range remaining {
			items = append(items, gossipItem{itemID("d", tombstone.Dot), ormap.Delta{Tombstones: []ormap.Tombstone{tombstone}}})
		}
	}
	return items
}

func (r *Replica) broadcast(fresh ormap.Delta, removed []ormap.Entry) {
	for _, item := range splitItems(fresh, removed) {
		if body, err := msgpack.Marshal(item.delta); err == nil {
			r.tree.Broadcast(item.id, body)
		}
	}
}

// AnnounceOwn names the own entries to the neighbours.
func (r *Replica) AnnounceOwn() {
	for _, e := range r.entries.Live(func(e ormap.Entry) bool { return e.Dot.Node == r.dotNode }) {
		r.tree.Announce(itemID("a", e.Dot))
	}
}

// scheduleFlush sends the names of many pieces that came at once a part of a beat later,
// with those that come meanwhile.
func (r *Replica) scheduleFlush() {
	r.tasks.Go("gossip-soon", func(ctx context.Context) {
		task.Sleep(ctx, r.heartbeat/8)
		r.tree.Flush()
	})
}

// scheduleGraft has the tree ask for what is missing before its next tick.
func (r *Replica) scheduleGraft() {
	r.tasks.Go("gossip-late", func(ctx context.Context) {
		task.Sleep(ctx, r.heartbeat/2)
		r.tree.Graft()
	})
}

// encodeItems bundles pieces for a fellow that named them.
func (r *Replica) encodeItems(ids []string, bodies [][]byte) []byte {
	var combined ormap.Delta
	var missing []uint64
	for i, id := range ids {
		var delta ormap.Delta
		if bodies[i] != nil && transport.Decode(bodies[i], &delta) == nil {
			combined.Adds, combined.Tombstones = append(combined.Adds, delta.Adds...), append(combined.Tombstones, delta.Tombstones...)
		} else if hash, ok := hashOfItem(id); ok {
			missing = append(missing, hash)
		}
	}
	delta := r.entries.Answer(missing, nil)
	combined.Adds, combined.Tombstones = append(combined.Adds, delta.Adds...), append(combined.Tombstones, delta.Tombstones...)
	return combined.Encode().Compact
}

// decodeItems takes in a bundle. Only what replaces another entry is kept as it came;
// anything else is made anew from the map when a fellow asks for it.
func (r *Replica) decodeItems(bundle []byte) []plumtree.Item {
	delta, err := ormap.Delta{Compact: bundle}.Decode()
	if err != nil {
		return nil
	}
	var items []plumtree.Item
	for _, item := range splitItems(r.merge(delta)) {
		var body []byte
		if len(item.delta.Adds) > 0 && len(item.delta.Tombstones) > 0 {
			body, _ = msgpack.Marshal(item.delta)
		}
		items = append(items, plumtree.Item{ID: item.id, Body: body})
	}
	return items
}

// rebuildItem makes a piece anew, nil when nothing is known of it.
func (r *Replica) rebuildItem(id string) []byte {
	hash, ok := hashOfItem(id)
	if !ok {
		return nil
	}
	delta := r.entries.Answer([]uint64{hash}, nil)
	if delta.Empty() {
		return nil
	}
	body, _ := msgpack.Marshal(delta)
	return body
}

// hashOfItem is the hash of the dot that a piece is named by.
func hashOfItem(id string) (uint64, bool) {
	if len(id) < 2 {
		return 0, false
	}
	hash, err := strconv.ParseUint(id[1:], 36, 64)
	return hash, err == nil
}

// knowsItem tells whether a piece of gossip is in the replica, by its name: an
// entry that is there or was, a grave that is there.
func (r *Replica) knowsItem(id string) bool {
	hash, ok := hashOfItem(id)
	if !ok {
		return false
	}
	live, dead := r.entries.Knows(hash)
	return dead || live && id[0] == 'a'
}
