// Package membership is the list of the mesh's nodes as the control nodes' sessions
// tell it, and the gossip overlay that every node works out from that list.
package membership

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

func mix(words ...string) uint64 {
	h := fnv.New64a()
	for _, s := range words {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	// fnv's high bits move little on short inputs, so they are mixed.
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// sign names one fellow as it is; the hash of a list is the signs of all over
// each other, so that a change of one is reckoned from that one alone.
func sign(f *Fellow) uint64 {
	return mix(f.Node, f.Start, f.Role, f.Area, f.Inner, f.Outer, f.Traffic)
}

// Names is the hash of a set of names, in whatever order.
func Names(all []string) uint64 {
	var h uint64
	for _, n := range all {
		h ^= mix(n)
	}
	return h
}
