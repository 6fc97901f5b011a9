package membership

import (
	"math"
	"sort"
)

// point is a member and its position on the ring of its zone.
type point struct {
	position uint64
	member   *Member
}

// ring holds the members of one zone by position. The position is a hash of the name, so
// a node that joins or leaves does not move the others.
type ring struct{ points []point }

// zoneRings returns the ring of each zone, computed once per list.
func (l *List) zoneRings() map[string]*ring {
	l.once.Do(func() {
		l.rings = map[string]*ring{}
		for _, member := range l.members {
			zoneRing := l.rings[member.Zone]
			if zoneRing == nil {
				zoneRing = &ring{}
				l.rings[member.Zone] = zoneRing
			}
			zoneRing.points = append(zoneRing.points, point{hashStrings("place", member.Node), member})
		}
		for _, zoneRing := range l.rings {
			sort.Slice(zoneRing.points, func(i, j int) bool { return zoneRing.points[i].position < zoneRing.points[j].position })
		}
	})
	return l.rings
}

// successor returns the index of the first point at or after a position, wrapping around.
func (r *ring) successor(position uint64) int {
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i].position >= position })
	return i % len(r.points)
}

// indexOf returns the index of a member.
func (r *ring) indexOf(node string) int { return r.successor(hashStrings("place", node)) }

// chordRatio is the ratio between the lengths of successive chords. A ratio of 2 would
// halve the hops and double the links, and links cost resources even when idle.
const chordRatio = 4

// visitNeighbors calls visit with each neighbor within the ring: two in each direction, so
// that the ring stays connected when one node fails, and chords in both directions to the
// points a quarter, a sixteenth and so on of the ring away. Hops and links both grow with
// the logarithm of the number of nodes.
func (r *ring) visitNeighbors(self int, visit func(*Member)) {
	n := len(r.points)
	for _, step := range []int{1, 2, n - 1, n - 2} {
		if step > 0 {
			visit(r.points[(self+step)%n].member)
		}
	}
	own := r.points[self].position
	predecessor := r.points[(self+n-1)%n].position
	for distance, remaining := uint64(math.MaxUint64)/chordRatio+1, n/chordRatio; remaining > 1; distance, remaining = distance/chordRatio, remaining/chordRatio {
		visit(r.points[r.successor(own+distance)].member)
		// Nodes whose chord ends here: their position plus distance lies after the
		// predecessor and up to this node. All differences wrap around the ring.
		for i := r.successor(predecessor + 1 - distance); r.points[i].position-(predecessor+1-distance) <= own-(predecessor+1); i = (i + 1) % n {
			visit(r.points[i].member)
			if (i+1)%n == r.successor(predecessor+1-distance) {
				break
			}
		}
	}
}

// Neighbors returns the overlay neighbors of a node: those in the ring of its zone, and the
// other ends of its bridges. Each pair of zones has only a few bridges, since traffic
// between zones is expensive. All nodes with the same list compute the same overlay.
func (l *List) Neighbors(self string) []Member {
	member := l.Get(self)
	if member == nil {
		return nil
	}
	rings := l.zoneRings()
	ownRing := rings[member.Zone]
	neighbors := map[string]*Member{}
	ownRing.visitNeighbors(ownRing.indexOf(self), func(peer *Member) { neighbors[peer.Node] = peer })
	delete(neighbors, self)
	for zone, otherRing := range rings {
		if zone == member.Zone {
			continue
		}
		// The k-th bridge node of one zone is linked with the k-th of the other. Two such
		// links keep the zones connected when one node fails.
		for k := range bridgesPerZonePair {
			if ownRing.bridge(zone, k).Node == self {
				peer := otherRing.bridge(member.Zone, k)
				neighbors[peer.Node] = peer
			}
		}
	}
	var out []Member
	for _, peer := range neighbors {
		out = append(out, *peer)
	}
	return Sort(out)
}

// bridgesPerZonePair is the number of links between each two zones.
const bridgesPerZonePair = 2

// bridge returns the k-th bridge node towards another zone.
func (r *ring) bridge(zone string, k int) *Member {
	return r.points[(r.successor(hashStrings("bridge", zone))+k)%len(r.points)].member
}
