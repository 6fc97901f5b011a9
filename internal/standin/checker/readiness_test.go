package checker

import (
	"fmt"
	"time"
)

// readinessScenarios has nodes that still count as ready after a stop signal.
func readinessScenarios() []scenarioCase {
	return []scenarioCase{
		{"still ready after the stop signal", Drain, func(r *run) { r.stillReady(3, 2) }},
		{"one still ready after the stop signal", "", func(r *run) { r.stillReady(3, 1) }},
		{"a quarter still ready after the stop signal", "", func(r *run) { r.stillReady(8, 2) }},
		{"over a quarter still ready after the stop signal", Drain, func(r *run) { r.stillReady(7, 2) }},
		{"restarted after the stop signal", "", func(r *run) {
			for i := range 3 {
				r.ReadinessProbed(fmt.Sprint("n", i), true)
				r.StopSignaled(fmt.Sprint("n", i))
			}
			wait(2 * time.Second)
			for i := range 3 {
				r.Restarted(fmt.Sprint("n", i))
				r.ReadinessProbed(fmt.Sprint("n", i), true)
			}
			wait(3 * time.Second)
		}},
	}
}

// stillReady sends a stop signal to count nodes, of which the first ready ones stay ready.
func (r *run) stillReady(count, ready int) {
	for i := range count {
		r.ReadinessProbed(fmt.Sprint("n", i), true)
		r.StopSignaled(fmt.Sprint("n", i))
	}
	for range 5 {
		wait(time.Second)
		for i := range count {
			r.ReadinessProbed(fmt.Sprint("n", i), i < ready)
		}
	}
}
