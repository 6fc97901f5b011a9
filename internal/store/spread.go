package store

import (
	"cmp"
	"maps"
	"slices"

	"puffincrank/internal/statemachine"
)

func areaOf(m statemachine.Member) string   { return m.Zone }
func regionOf(m statemachine.Member) string { return m.Region }

// countSharing counts the members that share a member's area or region, without one.
func countSharing(all []statemachine.Member, of func(statemachine.Member) string, m statemachine.Member, without string) (n int) {
	for _, o := range all {
		if of(o) == of(m) && o.ID != without {
			n++
		}
	}
	return n
}

// compareSharing compares two by how many vote in their regions, then in their areas.
func compareSharing(all []statemachine.Member, a, b statemachine.Member, without string) int {
	return cmp.Or(countSharing(all, regionOf, a, without)-countSharing(all, regionOf, b, without), countSharing(all, areaOf, a, without)-countSharing(all, areaOf, b, without))
}

// excessVotes is by how many votes the loss of the so many fullest areas or regions
// leaves the others short of a majority; 0 when they have one.
func excessVotes(all []statemachine.Member, of func(statemachine.Member) string, bear int) int {
	count := map[string]int{}
	for _, m := range all {
		count[of(m)]++
	}
	full := slices.Sorted(maps.Values(count))
	lost := 0
	for _, n := range full[max(0, len(full)-bear):] {
		lost += n
	}
	return max(0, lost-(len(all)-1)/2)
}

// missingTolerance is how far the members are from bearing what the props name: areas and
// regions by themselves, as the loss of one or the other is to be borne.
func (s *Store) missingTolerance(all []statemachine.Member) int {
	return excessVotes(all, areaOf, s.Settings.ToleratedZones) + excessVotes(all, regionOf, s.Settings.ToleratedRegions)
}

// memberToMove names the member that is to give way to a learner of another area or
// region, so that the others bear more; none if it would be no better. The
// leader stays: its going would cost a ballot.
func (s *Store) memberToMove(all []statemachine.Member, in statemachine.Member) (old string) {
	least := s.missingTolerance(all)
	if least == 0 {
		return ""
	}
	for i, m := range all {
		if m.ID == s.acc.Identity().ID {
			continue
		}
		then := slices.Clone(all)
		then[i] = in
		// The first of equals is the same for each learner that asks.
		if w := s.missingTolerance(then); w < least {
			least, old = w, m.ID
		}
	}
	return old
}
