package store

import (
	"cmp"
	"maps"
	"slices"

	"puffincrank/internal/statemachine"
)

func zoneOf(m statemachine.Member) string   { return m.Zone }
func regionOf(m statemachine.Member) string { return m.Region }

// countSharing counts the members in the same zone or region as a member,
// except one.
func countSharing(members []statemachine.Member, location func(statemachine.Member) string, m statemachine.Member, without string) (count int) {
	for _, o := range members {
		if location(o) == location(m) && o.ID != without {
			count++
		}
	}
	return count
}

// compareSharing compares two replicas by the number of members in their
// regions, then in their zones.
func compareSharing(members []statemachine.Member, a, b statemachine.Member, without string) int {
	return cmp.Or(countSharing(members, regionOf, a, without)-countSharing(members, regionOf, b, without), countSharing(members, zoneOf, a, without)-countSharing(members, zoneOf, b, without))
}

// excessVotes returns by how many votes the loss of the fullest zones or
// regions, as many as must be tolerated, leaves the others short of a majority;
// 0 if they still have one.
func excessVotes(members []statemachine.Member, location func(statemachine.Member) string, tolerated int) int {
	count := map[string]int{}
	for _, m := range members {
		count[location(m)]++
	}
	sorted := slices.Sorted(maps.Values(count))
	lost := 0
	for _, n := range sorted[max(0, len(sorted)-tolerated):] {
		lost += n
	}
	return max(0, lost-(len(members)-1)/2)
}

// missingTolerance returns how many votes the members are short of the fault
// tolerance in the settings. Zones and regions count separately, since the
// loss of either alone must be tolerated.
func (s *Store) missingTolerance(members []statemachine.Member) int {
	return excessVotes(members, zoneOf, s.Settings.ToleratedZones) + excessVotes(members, regionOf, s.Settings.ToleratedRegions)
}

// memberToReplace returns the member that should be replaced by a learner of
// another zone or region, so that the members tolerate more; none if the
// learner would be no improvement. The leader is never replaced, since that
// would cost an election.
func (s *Store) memberToReplace(members []statemachine.Member, joiner statemachine.Member) (old string) {
	least := s.missingTolerance(members)
	if least == 0 {
		return ""
	}
	for i, m := range members {
		if m.ID == s.acceptor.Identity().ID {
			continue
		}
		changed := slices.Clone(members)
		changed[i] = joiner
		// Of equally good members the first is chosen, the same for each
		// learner.
		if missing := s.missingTolerance(changed); missing < least {
			least, old = missing, m.ID
		}
	}
	return old
}
