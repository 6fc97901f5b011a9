// Package membership holds the list of the cluster's nodes, as given by their sessions with
// the control plane, and the gossip overlay that every node derives from that list.
package membership

import (
	"hash/fnv"
	"sort"
)

// Member is one node of the cluster.
type Member struct {
	Node         string `msgpack:"n" json:"node"`
	Incarnation  string `msgpack:"s" json:"incarnation"`
	Role         string `msgpack:"r" json:"role"`
	Zone         string `msgpack:"z" json:"area"`
	InternalAddr string `msgpack:"i" json:"inner"`
	APIAddr      string `msgpack:"o" json:"outer"`
	TrafficAddr  string `msgpack:"t" json:"traffic,omitempty"`
}

// Sort sorts members by name, in place.
func Sort(members []Member) []Member {
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	return members
}

func hashStrings(values ...string) uint64 {
	h := fnv.New64a()
	for _, value := range values {
		_, _ = h.Write([]byte(value))
		_, _ = h.Write([]byte{0})
	}
	// The high bits of FNV vary little for short inputs, so they are mixed.
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// memberHash returns a hash of all fields of a member. The hash of a list is the XOR of
// its members' hashes, so that it can be updated for one changed member alone.
func memberHash(member *Member) uint64 {
	return hashStrings(member.Node, member.Incarnation, member.Role, member.Zone, member.InternalAddr, member.APIAddr, member.TrafficAddr)
}

// HashNames returns a hash of a set of names, independent of their order.
func HashNames(names []string) uint64 {
	var h uint64
	for _, name := range names {
		h ^= hashStrings(name)
	}
	return h
}
