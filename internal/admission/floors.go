package admission

import (
	"math"
	"sort"
)

// Floors rounds shares to whole slots by the largest remainder. A class with a
// positive share gets one slot at least, as far as the slots reach.
func Floors(slots int, shares map[string]float64) map[string]int {
	type part struct {
		name string
		rest float64
	}
	var parts []part
	out := map[string]int{}
	left := slots
	for n, s := range shares {
		exact := float64(slots) * s / 100
		out[n] = int(math.Floor(exact + 1e-9))
		left -= out[n]
		parts = append(parts, part{n, exact - float64(out[n])})
	}
	sort.Slice(parts, func(i, j int) bool {
		if parts[i].rest != parts[j].rest {
			return parts[i].rest > parts[j].rest
		}
		return parts[i].name < parts[j].name
	})
	for i := 0; i < len(parts) && left > 0; i++ {
		if shares[parts[i].name] > 0 {
			out[parts[i].name]++
			left--
		}
	}
	// No positive share may round to nothing: the richest class gives one up.
	for _, p := range parts {
		if shares[p.name] <= 0 || out[p.name] > 0 {
			continue
		}
		rich := ""
		for _, q := range parts {
			if out[q.name] > 1 && (rich == "" || out[q.name] > out[rich]) {
				rich = q.name
			}
		}
		if rich == "" {
			continue
		}
		out[rich]--
		out[p.name]++
	}
	return out
}
