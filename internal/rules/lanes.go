package rules

import (
	"math/bits"
	"slices"
	"time"
)

// RequestLanes is the number of priority lanes for requests on a link. The last one is for bulk
// requests.
const RequestLanes = 7

// urgency orders requests on a link: by rank, then by target latency. Targets count as different
// only when they differ by a factor of two.
type urgency struct{ rank, targetClass int }

// assignLanes distributes the arms over the lanes by urgency, the most urgent first. As with the
// classes, only the order of the ranks counts.
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
	slices.SortFunc(urgencies, func(a, b urgency) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.targetClass - b.targetClass
	})
	for i, level := range urgencies {
		// When there are more urgency levels than lanes, they are spread evenly over the lanes.
		r.laneByUrgency[level] = i * (RequestLanes - 1) / max(len(urgencies), RequestLanes-1)
	}
}

func (r *Rules) urgencyOf(a *Arm) urgency {
	return urgency{a.Rank, bits.Len64(uint64(a.Target / max(r.shortestTargets[a.Rank], 1)))}
}

// Lane returns the lane of an arm's requests; lane 0 goes first. Bulk requests use the last lane
// whatever their rank: they take long anyway, and a chunk of one in an urgent lane would delay many
// small requests. The lane depends on the other arms of the document, so it is not stored in the
// arm, which later versions may share.
func (r *Rules) Lane(a *Arm) int {
	if a.Bulk != "" {
		return RequestLanes - 1
	}
	return r.laneByUrgency[r.urgencyOf(a)]
}
