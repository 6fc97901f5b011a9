package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// testList makes a book of n nodes in some areas.
func testList(n, zones int) *List {
	var members []Member
	for i := range n {
		members = append(members, Member{Node: fmt.Sprintf("node-%05d", i), Role: "proxy", Zone: fmt.Sprint("a", i%zones)})
	}
	return NewList(members)
}

// neighborMap gives the links of all nodes, and checks that they go both ways.
func neighborMap(t *testing.T, b *List) map[string][]string {
	t.Helper()
	links := map[string][]string{}
	directed := map[[2]string]bool{}
	for _, f := range b.members {
		for _, o := range b.Neighbors(f.Node) {
			links[f.Node] = append(links[f.Node], o.Node)
			directed[[2]string{f.Node, o.Node}] = true
		}
	}
	for k := range directed {
		if k[0] == k[1] || !directed[[2]string{k[1], k[0]}] {
			t.Fatalf("%v goes one way only", k)
		}
	}
	return links
}

// reach gives how far the furthest node is from one, and how many are reached
// without those that are gone.
func reach(links map[string][]string, from string, gone map[string]bool) (far, reached int) {
	seen := map[string]bool{from: true}
	for frontier := []string{from}; len(frontier) > 0; far++ {
		var next []string
		for _, n := range frontier {
			for _, o := range links[n] {
				if !seen[o] && !gone[o] {
					seen[o] = true
					next = append(next, o)
				}
			}
		}
		frontier = next
	}
	return far - 1, len(seen)
}

// TestOverlayGrowth: within an area hops and links grow as the logarithm of the
// nodes. With steps of one and two only, the hops were a quarter of them.
func TestOverlayGrowth(t *testing.T) {
	for _, n := range []int{2, 3, 5, 8, 24, 60, 240, 960, 3000} {
		links := neighborMap(t, testList(n, 1))
		most, sum := 0, 0
		for _, l := range links {
			most, sum = max(most, len(l)), sum+len(l)
		}
		far := 0
		for i := range min(n, 20) {
			h, all := reach(links, fmt.Sprintf("node-%05d", i*n/20%n), nil)
			if all != n {
				t.Fatalf("%d of %d are reached", all, n)
			}
			far = max(far, h)
		}
		log := math.Log2(float64(n))
		t.Logf("%5d nodes: %2d hops, links %.1f in the mean, %d at the most", n, far, float64(sum)/float64(n), most)
		if float64(far) > 1+1.2*log || float64(sum)/float64(n) > 4+1.2*log || float64(most) > 8+4*log {
			t.Errorf("%d nodes: hops or links grow faster than the logarithm", n)
		}
	}
}

// TestOverlayConnected: areas stay joined, and all that are left stay together when
// any one node falls out, and nearly all when a tenth do at once.
func TestOverlayConnected(t *testing.T) {
	b := testList(300, 10)
	links := neighborMap(t, b)
	if far, all := reach(links, "node-00000", nil); all != 300 || far > 12 {
		t.Errorf("%d reached after %d hops", all, far)
	}
	for i := range 300 {
		failed := fmt.Sprintf("node-%05d", i)
		if _, all := reach(links, fmt.Sprintf("node-%05d", (i+1)%300), map[string]bool{failed: true}); all != 299 {
			t.Errorf("without %s only %d are reached", failed, all)
		}
	}
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 50 {
		gone := map[string]bool{}
		for len(gone) < 30 {
			gone[fmt.Sprintf("node-%05d", 1+rnd.IntN(299))] = true
		}
		if _, all := reach(links, "node-00000", gone); all < 270*95/100 {
			t.Errorf("%d of 270 are reached when a tenth is gone", all)
		}
	}
}

// TestOverlayStability: one node that goes changes the links of few others.
func TestOverlayStability(t *testing.T) {
	b := testList(960, 1)
	linksBefore := neighborMap(t, b)
	most, sum := 0, 0
	for i := range 40 {
		removed := fmt.Sprintf("node-%05d", i*24)
		now := neighborMap(t, b.Apply(nil, []string{removed}))
		n := 0
		for a, l := range now {
			had := map[string]bool{}
			for _, o := range linksBefore[a] {
				had[o] = true
			}
			for _, o := range l {
				if !had[o] {
					n++
				}
			}
		}
		most, sum = max(most, n/2), sum+n/2
	}
	t.Logf("new links for a node that goes: %.1f in the mean, %d at the most", float64(sum)/40, most)
	if most > 40 {
		t.Errorf("%d new links for one node that went", most)
	}
}
