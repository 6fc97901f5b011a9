package rules

import (
	"math/bits"
	"slices"
	"time"
)

// RequestLanes is how many ways there are by which jobs pass each other on a link;
// the last one is bulk's.
const RequestLanes = 7

// haste is what decides how urgent jobs are on a link: the rank, and within it
// the aim, of which only twice as much makes a difference.
type haste struct{ rank, aim int }

// hurry spreads the arms over the lanes by rank and aim, the first most urgent.
// As with the classes only the order of the ranks counts.
func (r *Rules) hurry() {
	var arms []*Arm
	r.short, r.lanes = map[int]time.Duration{}, map[haste]int{}
	add := func(a *Arm) {
		if a.Bulk != "" {
			return
		}
		arms = append(arms, a)
		if s, ok := r.short[a.Rank]; !ok || a.Target < s {
			r.short[a.Rank] = a.Target
		}
	}
	for _, p := range r.Routes {
		add(&p.Base)
		if p.Trial != 0 {
			add(&p.New)
		}
	}
	var all []haste
	for _, a := range arms {
		h := r.haste(a)
		if _, ok := r.lanes[h]; !ok {
			r.lanes[h] = 0
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b haste) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.aim - b.aim
	})
	for i, h := range all {
		// More of them than lanes share the lanes evenly.
		r.lanes[h] = i * (RequestLanes - 1) / max(len(all), RequestLanes-1)
	}
}

func (r *Rules) haste(a *Arm) haste {
	return haste{a.Rank, bits.Len64(uint64(a.Target / max(r.short[a.Rank], 1)))}
}

// Lane is the lane of an arm's jobs, 0 goes first. Bulk is last whatever its
// rank: what takes long by itself can wait, and a piece of it in an urgent lane
// would hold up many small ones. It depends on the document's other arms, so it
// isn't kept in the arm, which later documents may share.
func (r *Rules) Lane(a *Arm) int {
	if a.Bulk != "" {
		return RequestLanes - 1
	}
	return r.lanes[r.haste(a)]
}
