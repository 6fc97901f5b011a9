package rules

import (
	"fmt"
	"math"
	"slices"
)

// deriveClasses makes one class for each rank that occurs in the document. Each class has twice the
// share of the next one. Only the order of the ranks counts, so that 0, 1, 2 and 0, 10, 20 mean the
// same. Every class gets a share, since one without would starve under load: a low rank means less
// important, not unimportant.
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
