package membership

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func fellow(t *rapid.T) Member {
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

// TestRoll plays words of three sources against a plain model: the list, its
// hash and its count of fronts are those of the model, whatever way led there,
// and what differs since any earlier hash in the log leads to the list of now.
func TestRoll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 30
		r := NewTracker("own", most)
		type word struct {
			f   Member
			seq int
		}
		model := map[string]map[string]word{"own": {}, "b": {}, "c": {}}
		old := map[uint64]*List{}
		var hashes []uint64
		seq := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			from := rapid.SampledFrom([]string{"own", "b", "c"}).Draw(t, "from")
			f := fellow(t)
			seq++
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				r.RemoveSource(from)
				model[from] = map[string]word{}
			case 1:
				list := []Member{f, {Node: "x", Role: "proxy"}}
				r.Replace(from, list)
				model[from] = map[string]word{f.Node: {f, seq}, "x": {list[1], seq}}
			case 2, 3, 4:
				r.Remove(from, f.Node)
				delete(model[from], f.Node)
			default:
				r.Set(from, f)
				model[from][f.Node] = word{f, seq}
			}
			want, newest, fronts := map[string]Member{}, map[string]int{}, 0
			for _, s := range []string{"b", "c", "own"} {
				for n, w := range model[s] {
					if s == "own" || w.seq > newest[n] {
						want[n], newest[n] = w.f, w.seq
					}
				}
			}
			for _, f := range want {
				if f.Role == "proxy" {
					fronts++
				}
			}
			b := r.List()
			if got := b.Members(); !reflect.DeepEqual(got, sorted(want)) {
				t.Fatalf("the list is %v, the model %v", got, sorted(want))
			}
			if NewList(sorted(want)).Hash() != r.Hash() || b.Hash() != r.Hash() || r.ProxyCount() != fronts || b.ProxyCount() != fronts {
				t.Fatalf("hash or count of %v is wrong", want)
			}
			old[r.Hash()] = b
			hashes = append(hashes, r.Hash())
		}
		known := 0
		for i, h := range hashes {
			d, ok := r.Since(h)
			if h == r.Hash() {
				continue
			}
			if ok {
				known++
				if got := old[h].Apply(d.Added, d.Removed); !reflect.DeepEqual(got.Members(), r.List().Members()) || got.Hash() != r.Hash() {
					t.Fatalf("what differs since %x leads to another list", h)
				}
			} else if len(hashes)-i < most/2 {
				t.Fatalf("a hash of %d steps ago isn't known", len(hashes)-i)
			}
		}
		if _, ok := r.Since(12345); ok {
			t.Fatal("a hash that never was is known")
		}
		if len(r.log.all) > 2*most || len(r.log.at) > 2*most {
			t.Fatalf("the log has %d steps and %d hashes", len(r.log.all), len(r.log.at))
		}
	})
}

// TestParts: whatever two lists are, mending the parts that differ, a few at a
// time, makes one the other, and equal lists have none that differ.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *List {
			m := map[string]Member{}
			for _, f := range rapid.SliceOfN(rapid.Custom(fellow), 0, 40).Draw(t, name) {
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

// TestBook: finding, counting and drawing.
func TestBook(t *testing.T) {
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
