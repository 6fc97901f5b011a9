package checker

import (
	"fmt"
	"time"
)

// readinessScenarios has nodes that are told to end and count as ready ever after.
func readinessScenarios() []scenarioCase {
	return []scenarioCase{
		{"still ready after the order", Drain, func(r *run) { r.stillReady(3, 2) }},
		{"one still ready after the order", "", func(r *run) { r.stillReady(3, 1) }},
		{"a quarter still ready after the order", "", func(r *run) { r.stillReady(8, 2) }},
		{"over a quarter still ready after the order", Drain, func(r *run) { r.stillReady(7, 2) }},
		{"started again after the order", "", func(r *run) {
			for i := range 3 {
				r.Looked(fmt.Sprint("n", i), true)
				r.Term(fmt.Sprint("n", i))
			}
			wait(2 * time.Second)
			for i := range 3 {
				r.Lives(fmt.Sprint("n", i))
				r.Looked(fmt.Sprint("n", i), true)
			}
			wait(3 * time.Second)
		}},
	}
}

// stillReady tells so many nodes to end, of which some are found ready ever after.
func (d *run) stillReady(count, ready int) {
	for i := range count {
		d.Looked(fmt.Sprint("n", i), true)
		d.Term(fmt.Sprint("n", i))
	}
	for range 5 {
		wait(time.Second)
		for i := range count {
			d.Looked(fmt.Sprint("n", i), i < ready)
		}
	}
}
