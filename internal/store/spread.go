package store

import (
	"cmp"
	"maps"
	"slices"

	"puffincrank/internal/ledger"
)

func area(m ledger.Member) string { return m.Area }
func land(m ledger.Member) string { return m.Land }

// crowd counts the members that share a member's area or region, without one.
func crowd(all []ledger.Member, of func(ledger.Member) string, m ledger.Member, without string) (n int) {
	for _, o := range all {
		if of(o) == of(m) && o.ID != without {
			n++
		}
	}
	return n
}

// crowded compares two by how many vote in their regions, then in their areas.
func crowded(all []ledger.Member, a, b ledger.Member, without string) int {
	return cmp.Or(crowd(all, land, a, without)-crowd(all, land, b, without), crowd(all, area, a, without)-crowd(all, area, b, without))
}

// over is by how many votes the loss of the so many fullest areas or regions
// leaves the others short of a majority; 0 when they have one.
func over(all []ledger.Member, of func(ledger.Member) string, bear int) int {
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

// weak is how far the members are from bearing what the props name: areas and
// regions by themselves, as the loss of one or the other is to be borne.
func (s *Store) weak(all []ledger.Member) int {
	return over(all, area, s.P.BearAreas) + over(all, land, s.P.BearRegions)
}

// shift names the member that is to give way to a stand-by of another area or
// region, so that the others bear more; none if it would be no better. The
// writer stays: its going would cost a ballot.
func (s *Store) shift(all []ledger.Member, in ledger.Member) (old string) {
	least := s.weak(all)
	if least == 0 {
		return ""
	}
	for i, m := range all {
		if m.ID == s.acc.Me().ID {
			continue
		}
		then := slices.Clone(all)
		then[i] = in
		// The first of equals is the same for each stand-by that asks.
		if w := s.weak(then); w < least {
			least, old = w, m.ID
		}
	}
	return old
}
