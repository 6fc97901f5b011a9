package checker

import (
	"fmt"
	"time"
)

// attemptAndDenialScenarios has tries that go to too many workers, answers of the mesh's own that
// look like a worker's, and proper requests that machines out of touch turn away.
func attemptAndDenialScenarios() []scenarioCase {
	onWorkers := func(attempts, workers int, broke bool) func(r *run) {
		return func(r *run) {
			r.documents[0].Routes[0].MaxAttempts = 2
			for range attempts {
				attempt := r.try()
				attempt.Retryable = true
				var arrival *Arrival
				for i := range workers {
					arrival = r.exec(attempt, &Worker{Name: fmt.Sprint("w", i), Service: "s", Machine: "m1"})
					arrival.WorkerFailed = broke && i == 0
				}
				r.reply(attempt, arrival)
			}
		}
	}
	denied := func(attempts, status int) func(r *run) {
		return func(r *run) {
			r.Touch.Begin("m1", "frozen")
			wait(time.Second)
			for range attempts {
				r.fail(r.try(), status)
			}
		}
	}
	return []scenarioCase{
		{"tries on three workers of two", Budget, onWorkers(4, 3, false)},
		{"few tries on three workers of two", "", onWorkers(3, 3, false)},
		{"tries on three workers of two, one of which broke off", "", onWorkers(4, 3, true)},
		{"tries on two workers of two", "", onWorkers(9, 2, false)},
		{"a failure with a worker's stamp and another status", Mixed, func(r *run) {
			attempt := r.try()
			arrival := *r.exec(attempt, r.w1)
			arrival.Status = 502
			r.reply(attempt, &arrival)
		}},
		{"turned away out of touch", Denied, denied(11, 404)},
		{"a few turned away out of touch", "", denied(5, 404)},
		{"other failures out of touch", "", denied(20, 400)},
		{"turned away out of touch for what one document does not allow", "", func(r *run) {
			r.documents = append(r.documents, &Document{Number: 2, FirstSentAt: time.Now(), EndedAt: time.Now()})
			denied(11, 404)(r)
		}},
	}
}
