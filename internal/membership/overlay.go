package membership

import (
	"math"
	"sort"
)

// point is a member at its place on the ring of its area.
type point struct {
	position uint64
	member   *Member
}

// ring is the members of one area, by place. A place comes from the name, so a
// node that comes or goes moves nobody else.
type ring struct{ points []point }

// zoneRings sorts the members into areas, once for each book.
func (b *List) zoneRings() map[string]*ring {
	b.once.Do(func() {
		b.rings = map[string]*ring{}
		for _, member := range b.members {
			zoneRing := b.rings[member.Zone]
			if zoneRing == nil {
				zoneRing = &ring{}
				b.rings[member.Zone] = zoneRing
			}
			zoneRing.points = append(zoneRing.points, point{hashStrings("place", member.Node), member})
		}
		for _, zoneRing := range b.rings {
			sort.Slice(zoneRing.points, func(i, j int) bool { return zoneRing.points[i].position < zoneRing.points[j].position })
		}
	})
	return b.rings
}

// successor finds the first point at or after a place, around the ring.
func (r *ring) successor(position uint64) int {
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i].position >= position })
	return i % len(r.points)
}

// indexOf gives the index of a member.
func (r *ring) indexOf(node string) int { return r.successor(hashStrings("place", node)) }

// chordRatio is the ratio of the chords' lengths. Two would halve the hops and
// double the links, and it is links that cost while nothing happens.
const chordRatio = 4

// visitNeighbors gives the neighbours within the ring: two each way, so that it stays
// whole when one node falls out, and chords to the points a quarter, a
// sixteenth and so on of the ring away, in both directions: the hops grow as
// the logarithm of the nodes, and so do the links.
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
		// Those whose chord ends here: their places are as far back, after that
		// of the one before. All differences are around the ring.
		for i := r.successor(predecessor + 1 - distance); r.points[i].position-(predecessor+1-distance) <= own-(predecessor+1); i = (i + 1) % n {
			visit(r.points[i].member)
			if (i+1)%n == r.successor(predecessor+1-distance) {
				break
			}
		}
	}
}

// Neighbors gives the overlay neighbours of a node: chords in the ring of its own
// area, and between each two areas a few links, since bytes between areas are
// dear. All nodes with the same list work out the same overlay.
func (b *List) Neighbors(self string) []Member {
	member := b.Get(self)
	if member == nil {
		return nil
	}
	rings := b.zoneRings()
	ownRing := rings[member.Zone]
	neighbors := map[string]*Member{}
	ownRing.visitNeighbors(ownRing.indexOf(self), func(peer *Member) { neighbors[peer.Node] = peer })
	delete(neighbors, self)
	for zone, otherRing := range rings {
		if zone == member.Zone {
			continue
		}
		// The k-th bridge of the one meets the k-th of the other; two such pairs
		// keep the areas joined when one node dies.
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

const bridgesPerZonePair = 2

// bridge picks the k-th bridge towards another area.
func (r *ring) bridge(zone string, k int) *Member {
	return r.points[(r.successor(hashStrings("bridge", zone))+k)%len(r.points)].member
}
