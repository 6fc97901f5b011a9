// Package membership is the list of the mesh's nodes as the control nodes' sessions
// tell it, and the gossip overlay that every node works out from that list.
package membership

import (
	"hash/fnv"
	"sort"
)

// Member is one node of the mesh.
type Member struct {
	Node         string `msgpack:"n" json:"node"`
	Incarnation  string `msgpack:"s" json:"incarnation"`
	Role         string `msgpack:"r" json:"role"`
	Zone         string `msgpack:"z" json:"area"`
	InternalAddr string `msgpack:"i" json:"inner"`
	APIAddr      string `msgpack:"o" json:"outer"`
	TrafficAddr  string `msgpack:"t" json:"traffic,omitempty"`
}

// Sort orders a list by name.
func Sort(all []Member) []Member {
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
func sign(f *Member) uint64 {
	return mix(f.Node, f.Incarnation, f.Role, f.Zone, f.InternalAddr, f.APIAddr, f.TrafficAddr)
}

// HashNames is the hash of a set of names, in whatever order.
func HashNames(all []string) uint64 {
	var h uint64
	for _, n := range all {
		h ^= mix(n)
	}
	return h
}
