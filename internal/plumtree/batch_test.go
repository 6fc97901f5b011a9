package plumtree

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// batchCluster is a cluster whose nodes use batching, except those of an earlier version.
type batchCluster struct {
	*cluster
	flushRequested map[string]bool
	bodies         int // number of bodies sent
	announced      int // number of IDs announced
}

func newBatchCluster(n, step int, olderVersion func(string) bool) *batchCluster {
	c := &batchCluster{cluster: newCluster(n, step), flushRequested: map[string]bool{}}
	for name, tree := range c.trees {
		if olderVersion(name) {
			continue
		}
		received := c.received[name]
		tree.SetBatching(Batching{
			RequestFlush: func() { c.flushRequested[name] = true },
			Encode:       func(ids []string, _ [][]byte) []byte { return []byte(strings.Join(ids, " ")) },
			Decode: func(b []byte) (items []Item) {
				for _, id := range strings.Fields(string(b)) {
					if received[id]++; received[id] == 1 {
						items = append(items, Item{ID: id})
					}
				}
				return items
			},
			Rebuild: func(id string) []byte { return []byte(id) },
		})
		tree.deliver = func(b []byte) bool { received[string(b)]++; return received[string(b)] == 1 }
		tree.known = func(id string) bool { return received[id] > 0 }
	}
	c.drop = func(_, _ string) bool {
		switch msg := c.lastMessage; msg.Kind {
		case "gossip":
			c.bodies++
		case "many":
			c.bodies += len(strings.Fields(string(msg.Body)))
		case "ihave":
			c.announced += len(msg.IDs)
		}
		return false
	}
	return c
}

// broadcastAll has every node broadcast one item at once, then runs until all is delivered.
// It returns the IDs of the items.
func (c *batchCluster) broadcastAll(t *testing.T) []string {
	var ids []string
	for i, name := range slices.Sorted(maps.Keys(c.trees)) {
		id := "a" + fmt.Sprintf("%x", 1000+i)
		ids = append(ids, id)
		c.received[name][id] = 1
		c.trees[name].Broadcast(id, []byte(id))
	}
	for range 40 {
		for len(c.queue)+len(c.flushRequested) > 0 {
			c.settle()
			requested := c.flushRequested
			c.flushRequested = map[string]bool{}
			for name := range requested {
				c.trees[name].Flush()
			}
		}
		task.Sleep(t.Context(), time.Second)
		for _, tree := range c.trees {
			tree.Tick()
		}
	}
	return ids
}

// TestBurst checks that when all nodes broadcast at once, the body of each item is sent to
// each node about once. Without batching it is sent over nearly all links.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 100
		c := newBatchCluster(n, 7, func(string) bool { return false })
		for _, id := range c.broadcastAll(t) {
			for name, received := range c.received {
				if received[id] == 0 {
					t.Fatalf("node %s lacks item %s", name, id)
				}
			}
		}
		// The tree has formed again: later items reach all nodes without a tick.
		for k := range 2 {
			c.trees["5"].Broadcast(fmt.Sprint("b", k), []byte(fmt.Sprint("b", k)))
			c.settle()
			for name, received := range c.received {
				if name != "5" && received[fmt.Sprint("b", k)] == 0 {
					t.Errorf("node %s lacks an item sent after the burst", name)
				}
			}
		}
		t.Logf("%.2f bodies and %.2f announcements per node and item", float64(c.bodies)/n/n, float64(c.announced)/n/n)
		// A few items are sent over each of the four links before the burst is detected.
		if limit := n*n + 5*4*MaxEagerBurst*n; c.bodies > limit {
			t.Errorf("%d bodies sent, want at most %d", c.bodies, limit)
		}
	})
}

// TestBurstMixedVersions checks that nodes of an earlier version, which does not support
// batches, get every item too.
func TestBurstMixedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBatchCluster(30, 7, func(name string) bool { return name == "3" || name == "4" || name == "17" })
		for _, id := range c.broadcastAll(t) {
			for name, received := range c.received {
				if received[id] == 0 {
					t.Errorf("node %s lacks item %s", name, id)
				}
			}
		}
	})
}

// TestCompactID checks that compact IDs expand to the original, and that other IDs survive.
func TestCompactID(t *testing.T) {
	for _, id := range []string{"a0", "d1", "azzzz", "a3w5e11264sgsf", "d3w5e11264sgsf"} {
		if s := compactID(id); len(s) != 9 || expandID(s) != id {
			t.Errorf("%s was compacted to %q and expanded to %s", id, s, expandID(s))
		}
	}
	for _, id := range []string{"", "a", "a00", "x!", "a3w5e11264sgsg", "12345678"} {
		if expandID(compactID(id)) != id {
			t.Errorf("%q was expanded to %q", id, expandID(compactID(id)))
		}
	}
}

// TestPromptAnnouncements checks that a node whose links are all pruned announces its items
// by a scheduled flush and not only at the next tick. A node beyond a gap in the tree waits
// for the announcement, and then for up to a graft timeout before it requests the item.
func TestPromptAnnouncements(t *testing.T) {
	c := newBatchCluster(6, 2, func(string) bool { return false })
	for link := range c.trees["0"].eager {
		c.trees["0"].Receive(Message{Kind: "prune", From: link})
	}
	c.received["0"]["a1"] = 1
	c.trees["0"].Broadcast("a1", []byte("a1"))
	if !c.flushRequested["0"] {
		t.Fatal("no flush was requested for the announcement")
	}
	c.trees["0"].Flush()
	c.settle()
	if c.announced != 4 || c.bodies != 0 {
		t.Errorf("%d announcements and %d bodies over four lazy links", c.announced, c.bodies)
	}
}
