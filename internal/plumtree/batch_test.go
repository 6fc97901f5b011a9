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

// batchCluster is a mesh whose nodes carry many pieces at once, but for those that are
// of an earlier version.
type batchCluster struct {
	*cluster
	flushRequested map[string]bool
	bodies         int // bodies that travelled
	announced      int // names that travelled
}

func newBatchCluster(n, step int, olderVersion func(string) bool) *batchCluster {
	m := &batchCluster{cluster: newCluster(n, step), flushRequested: map[string]bool{}}
	for name, tree := range m.trees {
		if olderVersion(name) {
			continue
		}
		received := m.received[name]
		tree.SetBatching(Batching{
			RequestFlush: func() { m.flushRequested[name] = true },
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
	m.drop = func(_, _ string) bool {
		switch msg := m.last; msg.Kind {
		case "gossip":
			m.bodies++
		case "many":
			m.bodies += len(strings.Fields(string(msg.Body)))
		case "ihave":
			m.announced += len(msg.IDs)
		}
		return false
	}
	return m
}

// broadcastAll has every node cast a piece at once and runs until nothing is left to do.
func (m *batchCluster) broadcastAll(t *testing.T) []string {
	var ids []string
	for i, name := range slices.Sorted(maps.Keys(m.trees)) {
		id := "a" + fmt.Sprintf("%x", 1000+i)
		ids = append(ids, id)
		m.received[name][id] = 1
		m.trees[name].Broadcast(id, []byte(id))
	}
	for range 40 {
		for len(m.queue)+len(m.flushRequested) > 0 {
			m.settle()
			due := m.flushRequested
			m.flushRequested = map[string]bool{}
			for name := range due {
				m.trees[name].Flush()
			}
		}
		task.Sleep(t.Context(), time.Second)
		for _, tree := range m.trees {
			tree.Tick()
		}
	}
	return ids
}

// TestBurst: when all nodes cast at once each piece goes to each node whole about
// once, whatever the links; it went over nearly all of them.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 100
		m := newBatchCluster(n, 7, func(string) bool { return false })
		for _, id := range m.broadcastAll(t) {
			for name, got := range m.received {
				if got[id] == 0 {
					t.Fatalf("%s lacks %s", name, id)
				}
			}
		}
		// The tree is whole again: what is new later needs no tick to reach all.
		for k := range 2 {
			m.trees["5"].Broadcast(fmt.Sprint("b", k), []byte(fmt.Sprint("b", k)))
			m.settle()
			for name, got := range m.received {
				if name != "5" && got[fmt.Sprint("b", k)] == 0 {
					t.Errorf("%s lacks what came after", name)
				}
			}
		}
		t.Logf("%.2f bodies and %.2f names for each node and piece", float64(m.bodies)/n/n, float64(m.announced)/n/n)
		// A few go over each of four links before there are too many.
		if limit := n*n + 5*4*MaxEagerBurst*n; m.bodies > limit {
			t.Errorf("%d bodies, of at most %d", m.bodies, limit)
		}
	})
}

// TestBurstMixedVersions: nodes of an earlier version among them, that know nothing of
// bundles, get every piece too.
func TestBurstMixedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newBatchCluster(30, 7, func(name string) bool { return name == "3" || name == "4" || name == "17" })
		for _, id := range m.broadcastAll(t) {
			for name, got := range m.received {
				if got[id] == 0 {
					t.Errorf("%s lacks %s", name, id)
				}
			}
		}
	})
}

// TestCompactID: the short form of a name stands for it and nothing else.
func TestCompactID(t *testing.T) {
	for _, id := range []string{"a0", "d1", "azzzz", "a3w5e11264sgsf", "d3w5e11264sgsf"} {
		if s := compactID(id); len(s) != 9 || expandID(s) != id {
			t.Errorf("%s became %q and %s", id, s, expandID(s))
		}
	}
	for _, id := range []string{"", "a", "a00", "x!", "a3w5e11264sgsg", "12345678"} {
		if expandID(compactID(id)) != id {
			t.Errorf("%q became %q", id, expandID(compactID(id)))
		}
	}
}

// TestPromptAnnouncements: a node whose links are all pruned tells the name of its news
// within a part of a beat, not at the next beat: who is beyond a gap of the tree
// waits for the name, and then for a beat before it asks.
func TestPromptAnnouncements(t *testing.T) {
	m := newBatchCluster(6, 2, func(string) bool { return false })
	for a := range m.trees["0"].eager {
		m.trees["0"].Receive(Message{Kind: "prune", From: a})
	}
	m.received["0"]["a1"] = 1
	m.trees["0"].Broadcast("a1", []byte("a1"))
	if !m.flushRequested["0"] {
		t.Fatal("its names wait for the tick")
	}
	m.trees["0"].Flush()
	m.settle()
	if m.announced != 4 || m.bodies != 0 {
		t.Errorf("%d names and %d bodies over four lazy links", m.announced, m.bodies)
	}
}
