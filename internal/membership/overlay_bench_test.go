package membership

import (
	"fmt"
	"testing"
)

// BenchmarkOverlay is the overlay alone at sizes that no mesh here ran at, with
// 25 areas in 8 regions: what working out one node's links takes, how many
// links the nodes have, and the hops from the furthest of 32 nodes to all.
func BenchmarkOverlay(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []Member
			for i := range n {
				all = append(all, Member{Node: fmt.Sprintf("node-%05d", i), Role: "proxy", Zone: fmt.Sprintf("r%dz%d", i%25%8, i%25/8)})
			}
			list := NewList(all)
			links := map[string][]string{}
			sum, most := 0, 0
			for _, f := range all {
				for _, to := range list.Neighbors(f.Node) {
					links[f.Node] = append(links[f.Node], to.Node)
				}
				sum, most = sum+len(links[f.Node]), max(most, len(links[f.Node]))
			}
			hops := 0
			for i := range 32 {
				hops = max(hops, maxDistance(b, links, all[i*n/32].Node, n))
			}
			i := 0
			for b.Loop() {
				i++
				list.Neighbors(all[i%n].Node)
			}
			b.ReportMetric(float64(hops), "hops")
			b.ReportMetric(float64(sum)/float64(n), "links")
			b.ReportMetric(float64(most), "most-links")
		})
	}
}

// maxDistance is the hops from a node to the furthest one.
func maxDistance(t testing.TB, links map[string][]string, from string, n int) int {
	seen, now, hops := map[string]bool{from: true}, []string{from}, 0
	for {
		var next []string
		for _, a := range now {
			for _, to := range links[a] {
				if !seen[to] {
					seen[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) == 0 {
			break
		}
		now, hops = next, hops+1
	}
	if len(seen) != n {
		t.Fatalf("%s reaches %d of %d", from, len(seen), n)
	}
	return hops
}
