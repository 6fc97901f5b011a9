package hollow

import (
	"fmt"
	"math"
	"strings"
)

// number writes a figure with three digits that count.
func number(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Table writes the figures of all sizes with the line through them and what it
// says of the target: counts and ratios first, times of the machine after them.
func Table(all []Result, target float64) string {
	var b strings.Builder
	for _, clock := range []bool{false, true} {
		if clock {
			b.WriteString("\nTimes and memory of this machine:\n\n")
		}
		b.WriteString("| act | figure |")
		for _, r := range all {
			fmt.Fprintf(&b, " %d |", r.Size.Nodes)
		}
		fmt.Fprintf(&b, " line | misfit | at %.0f |\n| --- | --- |", target)
		b.WriteString(strings.Repeat(" ---: |", len(all)) + " --- | ---: | ---: |\n")
		for i, w := range all[0].Rows {
			if w.Clock != clock {
				continue
			}
			var n, y []float64
			unit := ""
			if w.Unit != "" {
				unit = ", " + w.Unit
			}
			fmt.Fprintf(&b, "| %s | %s%s |", w.Part, w.Name, unit)
			for _, r := range all {
				if i >= len(r.Rows) {
					b.WriteString(" |")
					continue
				}
				n, y = append(n, float64(r.Size.Nodes)), append(y, r.Rows[i].Value)
				fmt.Fprintf(&b, " %s |", number(r.Rows[i].Value))
			}
			if len(n) < 4 {
				b.WriteString(" too few sizes | | |\n")
				continue
			}
			s := Fit(n, y)
			fmt.Fprintf(&b, " %s | %.0f %% | %s |\n", s, s.Misfit*100, number(s.At(target)))
		}
	}
	return b.String()
}
