package ormap

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"puffincrank/internal/hlc"
)

// history runs operations on several replicas together with a plain model. An operation
// is an add with a new dot, or a remove of the entries of a service that the node observed.
type history struct {
	maps    []*Map
	deltas  [][]Delta // deltas created by each node
	count   int64
	added   []map[Dot]bool // the model: dots added and removed, by node
	removed []map[Dot]bool
}

func newHistory(n int) *history {
	h := &history{}
	for range n {
		h.maps = append(h.maps, New())
		h.deltas = append(h.deltas, nil)
		h.added = append(h.added, map[Dot]bool{})
		h.removed = append(h.removed, map[Dot]bool{})
	}
	return h
}

func (h *history) add(node int, service string) {
	h.count++
	d := Delta{Adds: []Entry{{Dot: Dot{Node: fmt.Sprint("n", node), Stamp: hlc.Timestamp{Wall: h.count}}, Service: service}}}
	h.maps[node].Merge(d)
	h.added[node][d.Adds[0].Dot] = true
	h.deltas[node] = append(h.deltas[node], d)
}

func (h *history) remove(node int, service string) {
	d := h.maps[node].RemovalDelta("x", func(e Entry) bool { return e.Service == service })
	h.maps[node].Merge(d)
	for _, tombstone := range d.Tombstones {
		h.removed[node][tombstone.Dot] = true
	}
	h.deltas[node] = append(h.deltas[node], d)
}

func (h *history) deliver(from, to, index int) {
	d := h.deltas[from][index]
	h.maps[to].Merge(d)
	for _, e := range d.Adds {
		h.added[to][e.Dot] = true
	}
	for _, tombstone := range d.Tombstones {
		h.removed[to][tombstone.Dot] = true
	}
}

func liveDots(m *Map) map[Dot]bool {
	out := map[Dot]bool{}
	for _, e := range m.Live(nil) {
		out[e.Dot] = true
	}
	return out
}

// TestModel compares replicas with a plain model, with deltas delivered in any order and
// more than once. After all deltas are delivered, all replicas are equal.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.IntRange(0, 2).Draw(t, "at")
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				h.add(node, service)
			case 2:
				h.remove(node, service)
			case 3:
				if n := len(h.deltas[node]); n > 0 {
					h.deliver(node, rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, n-1).Draw(t, "which"))
				}
			}
			for i, m := range h.maps {
				want := map[Dot]bool{}
				for d := range h.added[i] {
					if !h.removed[i][d] {
						want[d] = true
					}
				}
				if got := liveDots(m); !reflect.DeepEqual(got, want) {
					t.Fatalf("node %d has %v, the model %v", i, got, want)
				}
			}
		}
		for from := range 3 {
			order := rapid.Permutation(indexes(len(h.deltas[from]))).Draw(t, "order")
			for to := range 3 {
				for _, index := range order {
					h.deliver(from, to, index)
				}
			}
		}
		for i := range 2 {
			if !reflect.DeepEqual(h.maps[i].Digests(), h.maps[i+1].Digests()) || !reflect.DeepEqual(liveDots(h.maps[i]), liveDots(h.maps[i+1])) {
				t.Fatalf("replicas %d and %d differ after all deltas", i, i+1)
			}
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestMergeProperties checks that merge is commutative, associative and idempotent.
func TestMergeProperties(t *testing.T) {
	delta := rapid.Custom(func(t *rapid.T) Delta {
		var d Delta
		for range rapid.IntRange(0, 6).Draw(t, "n") {
			dot := Dot{Node: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "node"), Stamp: hlc.Timestamp{Wall: rapid.Int64Range(1, 5).Draw(t, "wall")}}
			if rapid.Bool().Draw(t, "dead") {
				d.Tombstones = append(d.Tombstones, Tombstone{Dot: dot})
			} else {
				d.Adds = append(d.Adds, Entry{Dot: dot, Service: "s"})
			}
		}
		return d
	})
	merge := func(all ...Delta) *Map {
		m := New()
		for _, d := range all {
			m.Merge(d)
		}
		return m
	}
	same := func(a, b *Map) bool {
		return reflect.DeepEqual(liveDots(a), liveDots(b)) && reflect.DeepEqual(a.tombstonedDots(), b.tombstonedDots())
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := delta.Draw(t, "a"), delta.Draw(t, "b"), delta.Draw(t, "c")
		if !same(merge(a, b), merge(b, a)) {
			t.Fatal("not commutative")
		}
		if !same(merge(a, b, b, a), merge(a, b)) {
			t.Fatal("not idempotent")
		}
		if !same(merge(a, merge(b, c).All()), merge(merge(a, b).All(), c)) {
			t.Fatal("not associative")
		}
	})
}

func (m *Map) tombstonedDots() map[Dot]bool {
	out := map[Dot]bool{}
	for d := range m.tombstones {
		out[d] = true
	}
	return out
}

// TestRangeRepair checks that repairing the ranges whose digests differ makes replicas equal.
func TestRangeRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(2)
		for range rapid.IntRange(0, 40).Draw(t, "n") {
			node := rapid.IntRange(0, 1).Draw(t, "at")
			if rapid.Bool().Draw(t, "add") {
				h.add(node, "s")
			} else {
				h.remove(node, "s")
			}
		}
		a, b := h.maps[0], h.maps[1]
		var differ []int
		for i, d := range a.Digests() {
			if d != b.Digests()[i] {
				differ = append(differ, i)
			}
		}
		// Test both repair methods: full ranges on a and b, hashes on the equal c and d.
		c, d := New(), New()
		c.Merge(a.All())
		d.Merge(b.All())
		fromA, fromB := a.RangeDelta(differ), b.RangeDelta(differ)
		a.Merge(fromB)
		b.Merge(fromA)
		if !reflect.DeepEqual(liveDots(a), liveDots(b)) {
			t.Fatal("repaired replicas differ")
		}
		want, give := c.Compare(differ, d.Hashes(differ))
		reply := d.Answer(want, give.Adds)
		d.Merge(give)
		c.Merge(reply)
		if !reflect.DeepEqual(liveDots(c), liveDots(a)) || !reflect.DeepEqual(liveDots(d), liveDots(a)) {
			t.Fatalf("repaired by hashes: %v and %v, by full ranges: %v", liveDots(c), liveDots(d), liveDots(a))
		}
		if len(give.Adds)+len(reply.Adds) > len(fromA.Adds)+len(fromB.Adds) {
			t.Fatal("repair by hashes transferred more entries than full ranges")
		}
	})
}

// TestDigests checks that the incrementally updated digests match the live entries after any
// changes.
func TestDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(1)
		for range rapid.IntRange(0, 40).Draw(t, "n") {
			if rapid.Bool().Draw(t, "add") {
				h.add(0, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"))
			} else {
				h.remove(0, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"))
			}
			if rapid.IntRange(0, 9).Draw(t, "clear") == 0 {
				h.maps[0].Clear(func(e Entry) bool { return e.Service == "a" })
			}
			rebuilt := New()
			rebuilt.Merge(h.maps[0].All())
			if !reflect.DeepEqual(rebuilt.Digests(), h.maps[0].Digests()) {
				t.Fatal("digests do not match the entries")
			}
		}
	})
}
