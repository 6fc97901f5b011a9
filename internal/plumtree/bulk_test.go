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

// many is a mesh whose nodes carry many pieces at once, but for those that are
// of an earlier version.
type many struct {
	*mesh
	soon  map[string]bool
	whole int // bodies that travelled
	calls int // names that travelled
}

func newMany(n, step int, old func(string) bool) *many {
	m := &many{mesh: newMesh(n, step), soon: map[string]bool{}}
	for name, tree := range m.trees {
		if old(name) {
			continue
		}
		has := m.got[name]
		tree.SetBatching(Batching{
			RequestFlush: func() { m.soon[name] = true },
			Encode:       func(ids []string, _ [][]byte) []byte { return []byte(strings.Join(ids, " ")) },
			Decode: func(b []byte) (news []Item) {
				for _, id := range strings.Fields(string(b)) {
					if has[id]++; has[id] == 1 {
						news = append(news, Item{ID: id})
					}
				}
				return news
			},
			Rebuild: func(id string) []byte { return []byte(id) },
		})
		tree.got = func(b []byte) bool { has[string(b)]++; return has[string(b)] == 1 }
		tree.knows = func(id string) bool { return has[id] > 0 }
	}
	m.lose = func(_, _ string) bool {
		switch msg := m.last; msg.Kind {
		case "gossip":
			m.whole++
		case "many":
			m.whole += len(strings.Fields(string(msg.Body)))
		case "ihave":
			m.calls += len(msg.IDs)
		}
		return false
	}
	return m
}

// rush has every node cast a piece at once and runs until nothing is left to do.
func (m *many) rush(t *testing.T) []string {
	var ids []string
	for i, name := range slices.Sorted(maps.Keys(m.trees)) {
		id := "a" + fmt.Sprintf("%x", 1000+i)
		ids = append(ids, id)
		m.got[name][id] = 1
		m.trees[name].Broadcast(id, []byte(id))
	}
	for range 40 {
		for len(m.q)+len(m.soon) > 0 {
			m.settle()
			due := m.soon
			m.soon = map[string]bool{}
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

// TestRush: when all nodes cast at once each piece goes to each node whole about
// once, whatever the links; it went over nearly all of them.
func TestRush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 100
		m := newMany(n, 7, func(string) bool { return false })
		for _, id := range m.rush(t) {
			for name, got := range m.got {
				if got[id] == 0 {
					t.Fatalf("%s lacks %s", name, id)
				}
			}
		}
		// The tree is whole again: what is new later needs no tick to reach all.
		for k := range 2 {
			m.trees["5"].Broadcast(fmt.Sprint("b", k), []byte(fmt.Sprint("b", k)))
			m.settle()
			for name, got := range m.got {
				if name != "5" && got[fmt.Sprint("b", k)] == 0 {
					t.Errorf("%s lacks what came after", name)
				}
			}
		}
		t.Logf("%.2f bodies and %.2f names for each node and piece", float64(m.whole)/n/n, float64(m.calls)/n/n)
		// A few go over each of four links before there are too many.
		if most := n*n + 5*4*MaxEagerBurst*n; m.whole > most {
			t.Errorf("%d bodies, of at most %d", m.whole, most)
		}
	})
}

// TestRushMixed: nodes of an earlier version among them, that know nothing of
// bundles, get every piece too.
func TestRushMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMany(30, 7, func(name string) bool { return name == "3" || name == "4" || name == "17" })
		for _, id := range m.rush(t) {
			for name, got := range m.got {
				if got[id] == 0 {
					t.Errorf("%s lacks %s", name, id)
				}
			}
		}
	})
}

// TestShort: the short form of a name stands for it and nothing else.
func TestShort(t *testing.T) {
	for _, id := range []string{"a0", "d1", "azzzz", "a3w5e11264sgsf", "d3w5e11264sgsf"} {
		if s := short(id); len(s) != 9 || long(s) != id {
			t.Errorf("%s became %q and %s", id, s, long(s))
		}
	}
	for _, id := range []string{"", "a", "a00", "x!", "a3w5e11264sgsg", "12345678"} {
		if long(short(id)) != id {
			t.Errorf("%q became %q", id, long(short(id)))
		}
	}
}

// TestNamesSoon: a node whose links are all pruned tells the name of its news
// within a part of a beat, not at the next beat: who is beyond a gap of the tree
// waits for the name, and then for a beat before it asks.
func TestNamesSoon(t *testing.T) {
	m := newMany(6, 2, func(string) bool { return false })
	for a := range m.trees["0"].eager {
		m.trees["0"].Receive(Message{Kind: "prune", From: a})
	}
	m.got["0"]["a1"] = 1
	m.trees["0"].Broadcast("a1", []byte("a1"))
	if !m.soon["0"] {
		t.Fatal("its names wait for the tick")
	}
	m.trees["0"].Flush()
	m.settle()
	if m.calls != 4 || m.whole != 0 {
		t.Errorf("%d names and %d bodies over four lazy links", m.calls, m.whole)
	}
}
