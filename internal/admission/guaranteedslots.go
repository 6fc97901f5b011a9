package admission

import (
	"math"
	"sort"
)

// GuaranteedSlots rounds percentage shares to whole slots by the largest remainder
// method. A class with a positive share gets at least one slot, as long as there
// are enough slots.
func GuaranteedSlots(slots int, shares map[string]float64) map[string]int {
	type fraction struct {
		name      string
		remainder float64
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
		if fractions[i].remainder != fractions[j].remainder {
			return fractions[i].remainder > fractions[j].remainder
		}
		return fractions[i].name < fractions[j].name
	})
	for i := 0; i < len(fractions) && remaining > 0; i++ {
		if shares[fractions[i].name] > 0 {
			guaranteed[fractions[i].name]++
			remaining--
		}
	}
	// A positive share must not round to zero: the class with the most slots gives
	// one up.
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
