package checker

import "time"

// splitScenarios has a route that splits its requests evenly between two services.
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
		{"one service of a split gets all requests", Config, halves(200, always)},
		{"too few requests to judge a split", "", halves(199, always)},
		{"one service gets two thirds", "", halves(300, func(r *run, i int) *Worker {
			if i%3 == 0 {
				return r.w2
			}
			return r.w1
		})},
		{"one request reached no worker", "", halves(200, func(r *run, i int) *Worker {
			if i == 100 {
				return nil
			}
			return r.w1
		})},
		{"one service gets all requests on a disconnected machine", "", func(r *run) {
			r.Faults.Begin("m1", "frozen")
			halves(200, always)(r)
		}},
	}
}
