package admission

import (
	"math"
	"sort"
)

// GuaranteedSlots rounds shares to whole slots by the largest remainder. A class with a
// positive share gets one slot at least, as far as the slots reach.
func GuaranteedSlots(slots int, shares map[string]float64) map[string]int {
	type fraction struct {
		name string
		rest float64
	}
	var fractions []fraction
	guaranteed := map[string]int{}
	remaining := slots
	for class, share := range shares {
		exact := float64(slots) * share / 100
		guaranteed[class] = int(math.Floor(exact + 1e-9))
		remaining -= guaranteed[class]
		fractions = append(fractions, fraction{class, exact - float64(guaranteed[class])})
	}
	sort.Slice(fractions, func(i, j int) bool {
		if fractions[i].rest != fractions[j].rest {
			return fractions[i].rest > fractions[j].rest
		}
		return fractions[i].name < fractions[j].name
	})
	for i := 0; i < len(fractions) && remaining > 0; i++ {
		if shares[fractions[i].name] > 0 {
			guaranteed[fractions[i].name]++
			remaining--
		}
	}
	// No positive share may round to nothing: the richest class gives one up.
	for _, p := range fractions {
		if shares[p.name] <= 0 || guaranteed[p.name] > 0 {
			continue
		}
		richest := ""
		for _, q := range fractions {
			if guaranteed[q.name] > 1 && (richest == "" || guaranteed[q.name] > guaranteed[richest]) {
				richest = q.name
			}
		}
		if richest == "" {
			continue
		}
		guaranteed[richest]--
		guaranteed[p.name]++
	}
	return guaranteed
}
