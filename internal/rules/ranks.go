package rules

import (
	"fmt"
	"math"
	"slices"
)

// ranks works the classes out of the ranks that the arms have: the first rank
// present has twice the share of the next one, and so on. Only the order of
// the ranks counts, so that 0, 1, 2 and 0, 10, 20 mean the same. Each gets a
// share, since one without would starve under load: a rank says what matters
// more, not what doesn't matter.
func (r *Rules) ranks() {
	seen := map[int]bool{}
	for _, p := range r.Routes {
		seen[p.Base.Rank] = true
		if p.Trial != 0 {
			seen[p.New.Rank] = true
		}
	}
	var all []int
	for n := range seen {
		all = append(all, n)
	}
	slices.Sort(all)
	sum := 2 - math.Pow(2, 1-float64(len(all)))
	for i, n := range all {
		name := fmt.Sprintf("rank-%d", n)
		r.Classes = append(r.Classes, name)
		r.Shares[name] = 100 * math.Pow(2, -float64(i)) / sum
	}
}
