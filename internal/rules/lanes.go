package rules

import (
	"math/bits"
	"slices"
	"time"
)

// RequestLanes is how many ways there are by which jobs pass each other on a link;
// the last one is bulk's.
const RequestLanes = 7

// urgency is what decides how urgent jobs are on a link: the rank, and within it
// the aim, of which only twice as much makes a difference.
type urgency struct{ rank, targetClass int }

// assignLanes spreads the arms over the lanes by rank and aim, the first most urgent.
// As with the classes only the order of the ranks counts.
func (r *Rules) assignLanes() {
	var arms []*Arm
	r.shortestTargets, r.laneByUrgency = map[int]time.Duration{}, map[urgency]int{}
	add := func(arm *Arm) {
		if arm.Bulk != "" {
			return
		}
		arms = append(arms, arm)
		if shortest, ok := r.shortestTargets[arm.Rank]; !ok || arm.Target < shortest {
			r.shortestTargets[arm.Rank] = arm.Target
		}
	}
	for _, route := range r.Routes {
		add(&route.Base)
		if route.Trial != 0 {
			add(&route.New)
		}
	}
	var urgencies []urgency
	for _, arm := range arms {
		level := r.urgencyOf(arm)
		if _, ok := r.laneByUrgency[level]; !ok {
			r.laneByUrgency[level] = 0
			urgencies = append(urgencies, level)
		}
	}
	slices.SortFunc(urgencies, func(arm, b urgency) int {
		if arm.rank != b.rank {
			return arm.rank - b.rank
		}
		return arm.targetClass - b.targetClass
	})
	for i, level := range urgencies {
		// More of them than lanes share the lanes evenly.
		r.laneByUrgency[level] = i * (RequestLanes - 1) / max(len(urgencies), RequestLanes-1)
	}
}

func (r *Rules) urgencyOf(a *Arm) urgency {
	return urgency{a.Rank, bits.Len64(uint64(a.Target / max(r.shortestTargets[a.Rank], 1)))}
}

// Lane is the lane of an arm's jobs, 0 goes first. Bulk is last whatever its
// rank: what takes long by itself can wait, and a piece of it in an urgent lane
// would hold up many small ones. It depends on the document's other arms, so it
// isn't kept in the arm, which later documents may share.
func (r *Rules) Lane(a *Arm) int {
	if a.Bulk != "" {
		return RequestLanes - 1
	}
	return r.laneByUrgency[r.urgencyOf(a)]
}
