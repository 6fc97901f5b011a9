package membership

import (
	"math"
	"sort"
)

// point is a member at its place on the ring of its area.
type point struct {
	at uint64
	f  *Member
}

// ring is the members of one area, by place. A place comes from the name, so a
// node that comes or goes moves nobody else.
type ring struct{ all []point }

// ringsOf sorts the members into areas, once for each book.
func (b *List) ringsOf() map[string]*ring {
	b.once.Do(func() {
		b.rings = map[string]*ring{}
		for _, f := range b.all {
			r := b.rings[f.Zone]
			if r == nil {
				r = &ring{}
				b.rings[f.Zone] = r
			}
			r.all = append(r.all, point{mix("place", f.Node), f})
		}
		for _, r := range b.rings {
			sort.Slice(r.all, func(i, j int) bool { return r.all[i].at < r.all[j].at })
		}
	})
	return b.rings
}

// next finds the first point at or after a place, around the ring.
func (r *ring) next(at uint64) int {
	i := sort.Search(len(r.all), func(i int) bool { return r.all[i].at >= at })
	return i % len(r.all)
}

// find gives the index of a member.
func (r *ring) find(node string) int { return r.next(mix("place", node)) }

// power is the ratio of the chords' lengths. Two would halve the hops and
// double the links, and it is links that cost while nothing happens.
const power = 4

// near gives the neighbours within the ring: two each way, so that it stays
// whole when one node falls out, and chords to the points a quarter, a
// sixteenth and so on of the ring away, in both directions: the hops grow as
// the logarithm of the nodes, and so do the links.
func (r *ring) near(self int, pick func(*Member)) {
	n := len(r.all)
	for _, step := range []int{1, 2, n - 1, n - 2} {
		if step > 0 {
			pick(r.all[(self+step)%n].f)
		}
	}
	own := r.all[self].at
	before := r.all[(self+n-1)%n].at
	for long, left := uint64(math.MaxUint64)/power+1, n/power; left > 1; long, left = long/power, left/power {
		pick(r.all[r.next(own+long)].f)
		// Those whose chord ends here: their places are as far back, after that
		// of the one before. All differences are around the ring.
		for i := r.next(before + 1 - long); r.all[i].at-(before+1-long) <= own-(before+1); i = (i + 1) % n {
			pick(r.all[i].f)
			if (i+1)%n == r.next(before+1-long) {
				break
			}
		}
	}
}

// Neighbors gives the overlay neighbours of a node: chords in the ring of its own
// area, and between each two areas a few links, since bytes between areas are
// dear. All nodes with the same list work out the same overlay.
func (b *List) Neighbors(self string) []Member {
	me := b.Get(self)
	if me == nil {
		return nil
	}
	areas := b.ringsOf()
	own := areas[me.Zone]
	pick := map[string]*Member{}
	own.near(own.find(self), func(f *Member) { pick[f.Node] = f })
	delete(pick, self)
	for area, far := range areas {
		if area == me.Zone {
			continue
		}
		// The k-th bridge of the one meets the k-th of the other; two such pairs
		// keep the areas joined when one node dies.
		for k := range across {
			if own.bridge(area, k).Node == self {
				n := far.bridge(me.Zone, k)
				pick[n.Node] = n
			}
		}
	}
	var out []Member
	for _, f := range pick {
		out = append(out, *f)
	}
	return Sort(out)
}

const across = 2

// bridge picks the k-th bridge towards another area.
func (r *ring) bridge(area string, k int) *Member {
	return r.all[(r.next(mix("bridge", area))+k)%len(r.all)].f
}
