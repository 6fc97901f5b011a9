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

// gossipItem is one item of gossip: a delta and its ID.
type gossipItem struct {
	id    string
	delta ormap.Delta
}

// itemID returns the ID of a gossip item: its kind, "a" for an add or "d" for a tombstone,
// followed by the hash of the dot in base 36.
func itemID(kind string, dot ormap.Dot) string { return kind + strconv.FormatUint(dot.Hash(), 36) }

// splitItems splits new state into gossip items, one for each entry and each tombstone.
// Their IDs derive from the dots, so an item that many nodes learn by repair at the same
// time, as after a network partition, is gossiped once. The tombstone of an entry that a
// newer one of the same worker replaces is part of the newer item, so that the worker is
// never absent in between. A tombstone of an entry unknown here is not gossiped; it only
// blocks an add that may still arrive.
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
	for _, unpaired := range byWorker {
		for _, tombstone := range unpaired {
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

// AnnounceOwn announces the IDs of this node's entries to the neighbors.
func (r *Replica) AnnounceOwn() {
	for _, e := range r.entries.Live(func(e ormap.Entry) bool { return e.Dot.Node == r.dotNode }) {
		r.tree.Announce(itemID("a", e.Dot))
	}
}

// scheduleFlush flushes queued announcements after an eighth of a heartbeat, together
// with those queued meanwhile.
func (r *Replica) scheduleFlush() {
	r.tasks.Go("gossip-soon", func(ctx context.Context) {
		task.Sleep(ctx, r.heartbeat/8)
		r.tree.Flush()
	})
}

// scheduleGraft has the tree request missing items after half a heartbeat, which is before
// its next tick.
func (r *Replica) scheduleGraft() {
	r.tasks.Go("gossip-late", func(ctx context.Context) {
		task.Sleep(ctx, r.heartbeat/2)
		r.tree.Graft()
	})
}

// encodeItems encodes the items that a peer requested. Items without a body are read from
// the map.
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

// decodeItems merges a batch of items and returns those that were new. It returns bodies
// only for items that replace an entry; others are rebuilt from the map when a peer
// requests them.
func (r *Replica) decodeItems(batch []byte) []plumtree.Item {
	delta, err := ormap.Delta{Compact: batch}.Decode()
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

// rebuildItem encodes an item from the map; it returns nil if its dot is unknown.
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

// hashOfItem returns the hash of the dot that an item ID contains.
func hashOfItem(id string) (uint64, bool) {
	if len(id) < 2 {
		return 0, false
	}
	hash, err := strconv.ParseUint(id[1:], 36, 64)
	return hash, err == nil
}

// knowsItem reports whether the replica already contains an item: for an add, its live
// entry or its tombstone; for a removal, the tombstone.
func (r *Replica) knowsItem(id string) bool {
	hash, ok := hashOfItem(id)
	if !ok {
		return false
	}
	live, dead := r.entries.Knows(hash)
	return dead || live && id[0] == 'a'
}
