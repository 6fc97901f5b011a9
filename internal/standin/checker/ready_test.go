package checker

import (
	"fmt"
	"time"
)

// readiness has nodes that are told to end and count as ready ever after.
func readiness() []breach {
	return []breach{
		{"still ready after the order", Drain, func(d *day) { d.stillReady(3, 2) }},
		{"one still ready after the order", "", func(d *day) { d.stillReady(3, 1) }},
		{"a quarter still ready after the order", "", func(d *day) { d.stillReady(8, 2) }},
		{"over a quarter still ready after the order", Drain, func(d *day) { d.stillReady(7, 2) }},
		{"started again after the order", "", func(d *day) {
			for i := range 3 {
				d.Looked(fmt.Sprint("n", i), true)
				d.Term(fmt.Sprint("n", i))
			}
			pass(2 * time.Second)
			for i := range 3 {
				d.Lives(fmt.Sprint("n", i))
				d.Looked(fmt.Sprint("n", i), true)
			}
			pass(3 * time.Second)
		}},
	}
}

// stillReady tells so many nodes to end, of which some are found ready ever after.
func (d *day) stillReady(all, still int) {
	for i := range all {
		d.Looked(fmt.Sprint("n", i), true)
		d.Term(fmt.Sprint("n", i))
	}
	for range 5 {
		pass(time.Second)
		for i := range all {
			d.Looked(fmt.Sprint("n", i), i < still)
		}
	}
}
