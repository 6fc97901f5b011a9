// Package member is the list of the mesh's nodes as the control nodes' sessions
// tell it, and the gossip overlay that every node works out from that list.
package member

import (
	"hash/fnv"
	"sort"
)

// Fellow is one node of the mesh.
type Fellow struct {
	Node    string `msgpack:"n" json:"node"`
	Start   string `msgpack:"s" json:"incarnation"`
	Role    string `msgpack:"r" json:"role"`
	Area    string `msgpack:"z" json:"area"`
	Inner   string `msgpack:"i" json:"inner"`
	Outer   string `msgpack:"o" json:"outer"`
	Traffic string `msgpack:"t" json:"traffic,omitempty"`
}

// Sort orders a list by name.
func Sort(all []Fellow) []Fellow {
	sort.Slice(all, func(i, j int) bool { return all[i].Node < all[j].Node })
	return all
}

// Hash names a list, so that it travels only when it changed.
func Hash(all []Fellow) uint64 {
	h := fnv.New64a()
	for _, f := range all {
		for _, s := range []string{f.Node, f.Start, f.Role, f.Area, f.Inner, f.Outer, f.Traffic} {
			_, _ = h.Write([]byte(s))
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// Links gives the overlay neighbours of a node: in its own area a ring with
// chords, so that it stays whole when one node falls out, and between each two
// areas a few links, since bytes between areas are dear. All nodes with the
// same list work out the same overlay.
func Links(all []Fellow, self string) []Fellow {
	areas := map[string][]Fellow{}
	own := ""
	for _, f := range all {
		areas[f.Area] = append(areas[f.Area], f)
		if f.Node == self {
			own = f.Area
		}
	}
	pick := map[string]Fellow{}
	ring := areas[own]
	for i, f := range ring {
		if f.Node != self {
			continue
		}
		for _, step := range []int{1, 2, len(ring) - 1, len(ring) - 2} {
			if n := ring[(i+max(step, 0))%len(ring)]; n.Node != self {
				pick[n.Node] = n
			}
		}
	}
	for area, far := range areas {
		if area == own {
			continue
		}
		// The k-th node of the smaller order meets the k-th of the other; two
		// such pairs keep the areas joined when one node dies.
		for k := range across {
			a, b := nth(ring, area, k), nth(far, own, k)
			if a.Node == self {
				pick[b.Node] = b
			}
		}
	}
	var out []Fellow
	for _, f := range pick {
		out = append(out, f)
	}
	return Sort(out)
}

const across = 2

// nth picks the k-th bridge of a ring towards another area.
func nth(ring []Fellow, area string, k int) Fellow {
	h := fnv.New32a()
	_, _ = h.Write([]byte(area))
	return ring[(int(h.Sum32()%uint32(len(ring)))+k)%len(ring)]
}
