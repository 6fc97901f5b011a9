package membership

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawMember draws one of 41 nodes, with a random role and one of three incarnations.
func drawMember(t *rapid.T) Member {
	n := rapid.IntRange(0, 40).Draw(t, "node")
	return Member{Node: fmt.Sprintf("n%02d", n), Incarnation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "start")),
		Role: rapid.SampledFrom([]string{"proxy", "registry"}).Draw(t, "role"), Zone: fmt.Sprint("a", n%3), InternalAddr: fmt.Sprintf("h%d:1", n)}
}

func sortedMembers(byName map[string]Member) []Member {
	out := []Member{}
	for _, member := range byName {
		out = append(out, member)
	}
	return Sort(out)
}

// TestTracker compares a tracker with a plain model under random reports of three sources.
// The list, its hash and its number of proxies match the model after any changes. Applying
// the difference since an earlier hash in the history yields the current list.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const historyLimit = 30
		tracker := NewTracker("own", historyLimit)
		type report struct {
			member Member
			seq    int
		}
		model := map[string]map[string]report{"own": {}, "b": {}, "c": {}}
		listsByHash := map[uint64]*List{}
		var hashes []uint64
		seq := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			source := rapid.SampledFrom([]string{"own", "b", "c"}).Draw(t, "from")
			member := drawMember(t)
			seq++
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				tracker.RemoveSource(source)
				model[source] = map[string]report{}
			case 1:
				list := []Member{member, {Node: "x", Role: "proxy"}}
				tracker.Replace(source, list)
				model[source] = map[string]report{member.Node: {member, seq}, "x": {list[1], seq}}
			case 2, 3, 4:
				tracker.Remove(source, member.Node)
				delete(model[source], member.Node)
			default:
				tracker.Set(source, member)
				model[source][member.Node] = report{member, seq}
			}
			want, newest, proxies := map[string]Member{}, map[string]int{}, 0
			for _, s := range []string{"b", "c", "own"} {
				for n, latest := range model[s] {
					if s == "own" || latest.seq > newest[n] {
						want[n], newest[n] = latest.member, latest.seq
					}
				}
			}
			for _, member := range want {
				if member.Role == "proxy" {
					proxies++
				}
			}
			current := tracker.List()
			if got := current.Members(); !reflect.DeepEqual(got, sortedMembers(want)) {
				t.Fatalf("the list is %v, the model %v", got, sortedMembers(want))
			}
			if NewList(sortedMembers(want)).Hash() != tracker.Hash() || current.Hash() != tracker.Hash() || tracker.ProxyCount() != proxies || current.ProxyCount() != proxies {
				t.Fatalf("hash or count of %v is wrong", want)
			}
			listsByHash[tracker.Hash()] = current
			hashes = append(hashes, tracker.Hash())
		}
		known := 0
		for i, hash := range hashes {
			diff, ok := tracker.Since(hash)
			if hash == tracker.Hash() {
				continue
			}
			if ok {
				known++
				if got := listsByHash[hash].Apply(diff.Added, diff.Removed); !reflect.DeepEqual(got.Members(), tracker.List().Members()) || got.Hash() != tracker.Hash() {
					t.Fatalf("applying the difference since %x gives another list", hash)
				}
			} else if len(hashes)-i < historyLimit/2 {
				t.Fatalf("the hash of %d steps ago is not in the history", len(hashes)-i)
			}
		}
		if _, ok := tracker.Since(12345); ok {
			t.Fatal("an unknown hash was found in the history")
		}
		if len(tracker.history.changes) > 2*historyLimit || len(tracker.history.latestFrom) > 2*historyLimit {
			t.Fatalf("the history has %d changes and %d hashes", len(tracker.history.changes), len(tracker.history.latestFrom))
		}
	})
}

// TestReplaceDifferingParts checks for any two lists that replacing the differing parts, a
// few at a time, makes them equal, and that equal lists have no differing parts.
func TestReplaceDifferingParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *List {
			byName := map[string]Member{}
			for _, member := range rapid.SliceOfN(rapid.Custom(drawMember), 0, 40).Draw(t, name) {
				byName[member.Node] = member
			}
			return NewList(sortedMembers(byName))
		}
		a, b := draw("a"), draw("b")
		n := rapid.SampledFrom([]int{1, 4, 16}).Draw(t, "n")
		for i, more := 0, true; more; i++ {
			if i > n {
				t.Fatal("differing parts remain after n rounds")
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

// TestList checks lookup, counting and random selection of members.
func TestList(t *testing.T) {
	list := NewList([]Member{{Node: "a", Zone: "x", Role: "proxy"}, {Node: "b", Zone: "y", Role: "proxy"}, {Node: "c", Zone: "y"}})
	if !list.Has("b") || list.Has("bb") || list.Len() != 3 || list.ProxyCount() != 2 {
		t.Error(list.Members())
	}
	seen := map[string]bool{}
	for i := range 3 {
		seen[list.Random("", func(n int) int { return i % n }).Node] = true
		if member := list.Random("y", func(n int) int { return i % n }); member.Zone != "y" {
			t.Error(member)
		}
	}
	if len(seen) != 3 || list.Random("z", func(int) int { return 0 }) != nil {
		t.Error(seen)
	}
}
