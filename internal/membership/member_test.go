package membership

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawMember(t *rapid.T) Member {
	n := rapid.IntRange(0, 40).Draw(t, "node")
	return Member{Node: fmt.Sprintf("n%02d", n), Incarnation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "start")),
		Role: rapid.SampledFrom([]string{"proxy", "registry"}).Draw(t, "role"), Zone: fmt.Sprint("a", n%3), InternalAddr: fmt.Sprintf("h%d:1", n)}
}

func sorted(m map[string]Member) []Member {
	out := []Member{}
	for _, f := range m {
		out = append(out, f)
	}
	return Sort(out)
}

// TestTracker plays words of three sources against a plain model: the list, its
// hash and its count of fronts are those of the model, whatever way led there,
// and what differs since any earlier hash in the log leads to the list of now.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const historyLimit = 30
		tracker := NewTracker("own", historyLimit)
		type report struct {
			f   Member
			seq int
		}
		model := map[string]map[string]report{"own": {}, "b": {}, "c": {}}
		listsByHash := map[uint64]*List{}
		var hashes []uint64
		seq := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			source := rapid.SampledFrom([]string{"own", "b", "c"}).Draw(t, "from")
			f := drawMember(t)
			seq++
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				tracker.RemoveSource(source)
				model[source] = map[string]report{}
			case 1:
				list := []Member{f, {Node: "x", Role: "proxy"}}
				tracker.Replace(source, list)
				model[source] = map[string]report{f.Node: {f, seq}, "x": {list[1], seq}}
			case 2, 3, 4:
				tracker.Remove(source, f.Node)
				delete(model[source], f.Node)
			default:
				tracker.Set(source, f)
				model[source][f.Node] = report{f, seq}
			}
			want, newest, proxies := map[string]Member{}, map[string]int{}, 0
			for _, s := range []string{"b", "c", "own"} {
				for n, w := range model[s] {
					if s == "own" || w.seq > newest[n] {
						want[n], newest[n] = w.f, w.seq
					}
				}
			}
			for _, f := range want {
				if f.Role == "proxy" {
					proxies++
				}
			}
			b := tracker.List()
			if got := b.Members(); !reflect.DeepEqual(got, sorted(want)) {
				t.Fatalf("the list is %v, the model %v", got, sorted(want))
			}
			if NewList(sorted(want)).Hash() != tracker.Hash() || b.Hash() != tracker.Hash() || tracker.ProxyCount() != proxies || b.ProxyCount() != proxies {
				t.Fatalf("hash or count of %v is wrong", want)
			}
			listsByHash[tracker.Hash()] = b
			hashes = append(hashes, tracker.Hash())
		}
		known := 0
		for i, h := range hashes {
			d, ok := tracker.Since(h)
			if h == tracker.Hash() {
				continue
			}
			if ok {
				known++
				if got := listsByHash[h].Apply(d.Added, d.Removed); !reflect.DeepEqual(got.Members(), tracker.List().Members()) || got.Hash() != tracker.Hash() {
					t.Fatalf("what differs since %x leads to another list", h)
				}
			} else if len(hashes)-i < historyLimit/2 {
				t.Fatalf("a hash of %d steps ago isn't known", len(hashes)-i)
			}
		}
		if _, ok := tracker.Since(12345); ok {
			t.Fatal("a hash that never was is known")
		}
		if len(tracker.history.changes) > 2*historyLimit || len(tracker.history.latestFrom) > 2*historyLimit {
			t.Fatalf("the log has %d steps and %d hashes", len(tracker.history.changes), len(tracker.history.latestFrom))
		}
	})
}

// TestReplaceDifferingParts: whatever two lists are, mending the parts that differ, a few at a
// time, makes one the other, and equal lists have none that differ.
func TestReplaceDifferingParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *List {
			m := map[string]Member{}
			for _, f := range rapid.SliceOfN(rapid.Custom(drawMember), 0, 40).Draw(t, name) {
				m[f.Node] = f
			}
			return NewList(sorted(m))
		}
		a, b := draw("a"), draw("b")
		n := rapid.SampledFrom([]int{1, 4, 16}).Draw(t, "n")
		for i, more := 0, true; more; i++ {
			if i > n {
				t.Fatal("it doesn't end")
			}
			var parts []int
			var list []Member
			parts, list, more = b.DifferingParts(a.Digests(n), 5)
			a = a.ReplaceParts(n, parts, list)
		}
		if !reflect.DeepEqual(a.Members(), b.Members()) || a.Hash() != b.Hash() {
			t.Fatalf("%v is not %v", a.Members(), b.Members())
		}
		if parts, _, _ := a.DifferingParts(b.Digests(n), 5); len(parts) > 0 {
			t.Fatal("equal lists differ")
		}
	})
}

// TestList: finding, counting and drawing.
func TestList(t *testing.T) {
	b := NewList([]Member{{Node: "a", Zone: "x", Role: "proxy"}, {Node: "b", Zone: "y", Role: "proxy"}, {Node: "c", Zone: "y"}})
	if !b.Has("b") || b.Has("bb") || b.Len() != 3 || b.ProxyCount() != 2 {
		t.Error(b.Members())
	}
	seen := map[string]bool{}
	for i := range 3 {
		seen[b.Random("", func(n int) int { return i % n }).Node] = true
		if f := b.Random("y", func(n int) int { return i % n }); f.Zone != "y" {
			t.Error(f)
		}
	}
	if len(seen) != 3 || b.Random("z", func(int) int { return 0 }) != nil {
		t.Error(seen)
	}
}
