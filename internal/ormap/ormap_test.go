package ormap

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"puffincrank/internal/hlc"
)

// op draws one step of a history at one of three nodes: an add with a fresh
// dot, or a remove of what that node has observed of a service.
type history struct {
	maps  []*Map
	logs  [][]Delta // deltas that each node made
	count int64
	model []map[Dot]bool // dots added and removed, per node: the plain model
	gone  []map[Dot]bool
}

func newHistory(n int) *history {
	h := &history{}
	for range n {
		h.maps = append(h.maps, New())
		h.logs = append(h.logs, nil)
		h.model = append(h.model, map[Dot]bool{})
		h.gone = append(h.gone, map[Dot]bool{})
	}
	return h
}

func (h *history) add(at int, service string) {
	h.count++
	d := Delta{Adds: []Entry{{Dot: Dot{Node: fmt.Sprint("n", at), Stamp: hlc.Timestamp{Wall: h.count}}, Service: service}}}
	h.maps[at].Merge(d)
	h.model[at][d.Adds[0].Dot] = true
	h.logs[at] = append(h.logs[at], d)
}

func (h *history) remove(at int, service string) {
	d := h.maps[at].RemovalDelta("x", func(e Entry) bool { return e.Service == service })
	h.maps[at].Merge(d)
	for _, g := range d.Tombstones {
		h.gone[at][g.Dot] = true
	}
	h.logs[at] = append(h.logs[at], d)
}

func (h *history) send(from, to, k int) {
	d := h.logs[from][k]
	h.maps[to].Merge(d)
	for _, e := range d.Adds {
		h.model[to][e.Dot] = true
	}
	for _, g := range d.Tombstones {
		h.gone[to][g.Dot] = true
	}
}

func dots(m *Map) map[Dot]bool {
	out := map[Dot]bool{}
	for _, e := range m.Live(nil) {
		out[e.Dot] = true
	}
	return out
}

// TestModel plays histories against a plain model, with deltas delivered in
// any order and more than once; at the end all replicas are equal.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := rapid.IntRange(0, 2).Draw(t, "at")
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				h.add(at, service)
			case 2:
				h.remove(at, service)
			case 3:
				if n := len(h.logs[at]); n > 0 {
					h.send(at, rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, n-1).Draw(t, "which"))
				}
			}
			for i, m := range h.maps {
				want := map[Dot]bool{}
				for d := range h.model[i] {
					if !h.gone[i][d] {
						want[d] = true
					}
				}
				if got := dots(m); !reflect.DeepEqual(got, want) {
					t.Fatalf("node %d has %v, the model %v", i, got, want)
				}
			}
		}
		for from := range 3 {
			order := rapid.Permutation(indexes(len(h.logs[from]))).Draw(t, "order")
			for to := range 3 {
				for _, k := range order {
					h.send(from, to, k)
				}
			}
		}
		for i := range 2 {
			if !reflect.DeepEqual(h.maps[i].Digests(), h.maps[i+1].Digests()) || !reflect.DeepEqual(dots(h.maps[i]), dots(h.maps[i+1])) {
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

// TestLaws: merge is commutative, associative and idempotent.
func TestLaws(t *testing.T) {
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
		return reflect.DeepEqual(dots(a), dots(b)) && reflect.DeepEqual(a.dead2(), b.dead2())
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

func (m *Map) dead2() map[Dot]bool {
	out := map[Dot]bool{}
	for d := range m.dead {
		out[d] = true
	}
	return out
}

// TestRanges: mending the ranges whose digests differ makes replicas equal.
func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(2)
		for range rapid.IntRange(0, 40).Draw(t, "n") {
			at := rapid.IntRange(0, 1).Draw(t, "at")
			if rapid.Bool().Draw(t, "add") {
				h.add(at, "s")
			} else {
				h.remove(at, "s")
			}
		}
		a, b := h.maps[0], h.maps[1]
		var differ []int
		for i, d := range a.Digests() {
			if d != b.Digests()[i] {
				differ = append(differ, i)
			}
		}
		// Both ways of mending, on replicas that were equal to these.
		c, d := New(), New()
		c.Merge(a.All())
		d.Merge(b.All())
		pa, pb := a.RangeDelta(differ), b.RangeDelta(differ)
		a.Merge(pb)
		b.Merge(pa)
		if !reflect.DeepEqual(dots(a), dots(b)) {
			t.Fatal("mended replicas differ")
		}
		want, give := c.Compare(differ, d.Hashes(differ))
		back := d.Answer(want, give.Adds)
		d.Merge(give)
		c.Merge(back)
		if !reflect.DeepEqual(dots(c), dots(a)) || !reflect.DeepEqual(dots(d), dots(a)) {
			t.Fatalf("by name: %v and %v, by parts: %v", dots(c), dots(d), dots(a))
		}
		if len(give.Adds)+len(back.Adds) > len(pa.Adds)+len(pb.Adds) {
			t.Fatal("more travelled than by parts")
		}
	})
}

// TestDigests: the digests kept are those of the entries, whatever came and went.
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
			again := New()
			again.Merge(h.maps[0].All())
			if !reflect.DeepEqual(again.Digests(), h.maps[0].Digests()) {
				t.Fatal("digests are not those of the entries")
			}
		}
	})
}
