package membership

import (
	"fmt"
	"testing"
)

// BenchmarkOverlay measures the overlay alone, at larger sizes than full clusters are tested
// at, with 25 zones in 8 regions: the time to compute one node's links, the number of links
// per node, and the most hops to the farthest node from any of 32 nodes.
func BenchmarkOverlay(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members []Member
			for i := range n {
				members = append(members, Member{Node: fmt.Sprintf("node-%05d", i), Role: "proxy", Zone: fmt.Sprintf("r%dz%d", i%25%8, i%25/8)})
			}
			list := NewList(members)
			links := map[string][]string{}
			totalLinks, maxLinks := 0, 0
			for _, member := range members {
				for _, peer := range list.Neighbors(member.Node) {
					links[member.Node] = append(links[member.Node], peer.Node)
				}
				totalLinks, maxLinks = totalLinks+len(links[member.Node]), max(maxLinks, len(links[member.Node]))
			}
			hops := 0
			for i := range 32 {
				hops = max(hops, maxDistance(b, links, members[i*n/32].Node, n))
			}
			i := 0
			for b.Loop() {
				i++
				list.Neighbors(members[i%n].Node)
			}
			b.ReportMetric(float64(hops), "hops")
			b.ReportMetric(float64(totalLinks)/float64(n), "links")
			b.ReportMetric(float64(maxLinks), "most-links")
		})
	}
}

// maxDistance returns the hops from a node to the farthest one.
func maxDistance(t testing.TB, links map[string][]string, from string, n int) int {
	seen, frontier, hops := map[string]bool{from: true}, []string{from}, 0
	for {
		var next []string
		for _, node := range frontier {
			for _, peer := range links[node] {
				if !seen[peer] {
					seen[peer] = true
					next = append(next, peer)
				}
			}
		}
		if len(next) == 0 {
			break
		}
		frontier, hops = next, hops+1
	}
	if len(seen) != n {
		t.Fatalf("%s reaches %d of %d nodes", from, len(seen), n)
	}
	return hops
}
