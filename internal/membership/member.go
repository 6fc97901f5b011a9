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
func Sort(members []Member) []Member {
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	return members
}

func hashStrings(words ...string) uint64 {
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

// memberHash names one fellow as it is; the hash of a list is the signs of all over
// each other, so that a change of one is reckoned from that one alone.
func memberHash(member *Member) uint64 {
	return hashStrings(member.Node, member.Incarnation, member.Role, member.Zone, member.InternalAddr, member.APIAddr, member.TrafficAddr)
}

// HashNames is the hash of a set of names, in whatever order.
func HashNames(names []string) uint64 {
	var h uint64
	for _, n := range names {
		h ^= hashStrings(n)
	}
	return h
}
