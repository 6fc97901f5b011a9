package rules

import (
	"fmt"
	"math"
	"slices"
)

// deriveClasses works the classes out of the ranks that the arms have: the first rank
// present has twice the share of the next one, and so on. Only the order of
// the ranks counts, so that 0, 1, 2 and 0, 10, 20 mean the same. Each gets a
// share, since one without would starve under load: a rank says what matters
// more, not what doesn't matter.
func (r *Rules) deriveClasses() {
	seen := map[int]bool{}
	for _, route := range r.Routes {
		seen[route.Base.Rank] = true
		if route.Trial != 0 {
			seen[route.New.Rank] = true
		}
	}
	var ranks []int
	for rank := range seen {
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	sum := 2 - math.Pow(2, 1-float64(len(ranks)))
	for i, rank := range ranks {
		name := fmt.Sprintf("rank-%d", rank)
		r.Classes = append(r.Classes, name)
		r.Shares[name] = 100 * math.Pow(2, -float64(i)) / sum
	}
}
