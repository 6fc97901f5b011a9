package checker

import "time"

// splitScenarios has a path that sends half of its requests to each of two services.
func splitScenarios() []scenarioCase {
	halves := func(count int, target func(r *run, i int) *Worker) func(r *run) {
		return func(r *run) {
			r.apply(2, "s", "u")
			wait(3 * time.Second)
			for i := range count {
				attempt := r.try()
				if worker := target(r, i); worker != nil {
					r.reply(attempt, r.exec(attempt, worker))
				} else {
					r.fail(attempt, 503)
				}
			}
		}
	}
	always := func(r *run, _ int) *Worker { return r.w1 }
	return []scenarioCase{
		{"a split of which one part gets all", Config, halves(200, always)},
		{"a split of which one part gets all, of a few", "", halves(199, always)},
		{"a split of which one part gets two thirds", "", halves(300, func(r *run, i int) *Worker {
			if i%3 == 0 {
				return r.w2
			}
			return r.w1
		})},
		{"a split of which one part turns away", "", halves(200, func(r *run, i int) *Worker {
			if i == 100 {
				return nil
			}
			return r.w1
		})},
		{"a split of which one part gets all, out of touch", "", func(r *run) {
			r.Touch.Begin("m1", "frozen")
			halves(200, always)(r)
		}},
	}
}
