package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// testList creates a list of n nodes, evenly divided into zones.
func testList(n, zones int) *List {
	var members []Member
	for i := range n {
		members = append(members, Member{Node: fmt.Sprintf("node-%05d", i), Role: "proxy", Zone: fmt.Sprint("a", i%zones)})
	}
	return NewList(members)
}

// neighborMap returns the links of all nodes, and checks that they are bidirectional.
func neighborMap(t *testing.T, list *List) map[string][]string {
	t.Helper()
	links := map[string][]string{}
	directed := map[[2]string]bool{}
	for _, member := range list.members {
		for _, peer := range list.Neighbors(member.Node) {
			links[member.Node] = append(links[member.Node], peer.Node)
			directed[[2]string{member.Node, peer.Node}] = true
		}
	}
	for k := range directed {
		if k[0] == k[1] || !directed[[2]string{k[1], k[0]}] {
			t.Fatalf("link %v is not bidirectional", k)
		}
	}
	return links
}

// reach returns the distance from a node to the farthest one, and the number of nodes that
// are reached without passing through failed ones.
func reach(links map[string][]string, from string, failed map[string]bool) (distance, reached int) {
	seen := map[string]bool{from: true}
	for frontier := []string{from}; len(frontier) > 0; distance++ {
		var next []string
		for _, node := range frontier {
			for _, peer := range links[node] {
				if !seen[peer] && !failed[peer] {
					seen[peer] = true
					next = append(next, peer)
				}
			}
		}
		frontier = next
	}
	return distance - 1, len(seen)
}

// TestOverlayGrowth checks that hops and links within a zone grow with the logarithm of the
// number of nodes. Without chords, the hops would grow to a quarter of that number.
func TestOverlayGrowth(t *testing.T) {
	for _, n := range []int{2, 3, 5, 8, 24, 60, 240, 960, 3000} {
		links := neighborMap(t, testList(n, 1))
		maxLinks, totalLinks := 0, 0
		for _, neighbors := range links {
			maxLinks, totalLinks = max(maxLinks, len(neighbors)), totalLinks+len(neighbors)
		}
		farthest := 0
		for i := range min(n, 20) {
			distance, reached := reach(links, fmt.Sprintf("node-%05d", i*n/20%n), nil)
			if reached != n {
				t.Fatalf("%d of %d nodes are reached", reached, n)
			}
			farthest = max(farthest, distance)
		}
		log := math.Log2(float64(n))
		t.Logf("%5d nodes: %2d hops, %.1f links on average, %d at most", n, farthest, float64(totalLinks)/float64(n), maxLinks)
		if float64(farthest) > 1+1.2*log || float64(totalLinks)/float64(n) > 4+1.2*log || float64(maxLinks) > 8+4*log {
			t.Errorf("%d nodes: hops or links grow faster than the logarithm", n)
		}
	}
}

// TestOverlayConnected checks that the overlay connects all zones, that it stays connected
// when any one node fails, and nearly so when a tenth of the nodes fail at once.
func TestOverlayConnected(t *testing.T) {
	list := testList(300, 10)
	links := neighborMap(t, list)
	if distance, reached := reach(links, "node-00000", nil); reached != 300 || distance > 12 {
		t.Errorf("%d nodes reached after %d hops", reached, distance)
	}
	for i := range 300 {
		failed := fmt.Sprintf("node-%05d", i)
		if _, reached := reach(links, fmt.Sprintf("node-%05d", (i+1)%300), map[string]bool{failed: true}); reached != 299 {
			t.Errorf("without %s only %d nodes are reached", failed, reached)
		}
	}
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 50 {
		failedNodes := map[string]bool{}
		for len(failedNodes) < 30 {
			failedNodes[fmt.Sprintf("node-%05d", 1+rnd.IntN(299))] = true
		}
		if _, reached := reach(links, "node-00000", failedNodes); reached < 270*95/100 {
			t.Errorf("%d of 270 nodes are reached when a tenth has failed", reached)
		}
	}
}

// TestOverlayStability checks that the removal of one node adds few links between others.
func TestOverlayStability(t *testing.T) {
	list := testList(960, 1)
	linksBefore := neighborMap(t, list)
	maxNewLinks, totalNewLinks := 0, 0
	for i := range 40 {
		removed := fmt.Sprintf("node-%05d", i*24)
		links := neighborMap(t, list.Apply(nil, []string{removed}))
		newLinks := 0
		for node, neighbors := range links {
			previous := map[string]bool{}
			for _, peer := range linksBefore[node] {
				previous[peer] = true
			}
			for _, peer := range neighbors {
				if !previous[peer] {
					newLinks++
				}
			}
		}
		maxNewLinks, totalNewLinks = max(maxNewLinks, newLinks/2), totalNewLinks+newLinks/2
	}
	t.Logf("new links after the removal of a node: %.1f on average, %d at most", float64(totalNewLinks)/40, maxNewLinks)
	if maxNewLinks > 40 {
		t.Errorf("%d new links after the removal of one node", maxNewLinks)
	}
}
