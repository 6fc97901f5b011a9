package store

import (
	"cmp"
	"maps"
	"slices"

	"puffincrank/internal/statemachine"
)

func zoneOf(m statemachine.Member) string   { return m.Zone }
func regionOf(m statemachine.Member) string { return m.Region }

// countSharing counts the members that share a member's area or region, without one.
func countSharing(members []statemachine.Member, location func(statemachine.Member) string, m statemachine.Member, without string) (count int) {
	for _, o := range members {
		if location(o) == location(m) && o.ID != without {
			count++
		}
	}
	return count
}

// compareSharing compares two by how many vote in their regions, then in their areas.
func compareSharing(members []statemachine.Member, reply, b statemachine.Member, without string) int {
	return cmp.Or(countSharing(members, regionOf, reply, without)-countSharing(members, regionOf, b, without), countSharing(members, zoneOf, reply, without)-countSharing(members, zoneOf, b, without))
}

// excessVotes is by how many votes the loss of the so many fullest areas or regions
// leaves the others short of a majority; 0 when they have one.
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

// missingTolerance is how far the members are from bearing what the props name: areas and
// regions by themselves, as the loss of one or the other is to be borne.
func (s *Store) missingTolerance(members []statemachine.Member) int {
	return excessVotes(members, zoneOf, s.Settings.ToleratedZones) + excessVotes(members, regionOf, s.Settings.ToleratedRegions)
}

// memberToReplace names the member that is to give way to a learner of another area or
// region, so that the others bear more; none if it would be no better. The
// leader stays: its going would cost a ballot.
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
		// The first of equals is the same for each learner that asks.
		if missing := s.missingTolerance(changed); missing < least {
			least, old = missing, m.ID
		}
	}
	return old
}
