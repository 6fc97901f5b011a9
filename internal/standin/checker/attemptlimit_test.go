package checker

import (
	"fmt"
	"time"
)

// attemptAndDenialScenarios has attempts that are executed by too many workers, an answer
// whose status is not the worker's, and valid requests that disconnected machines deny.
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
			r.Faults.Begin("m1", "frozen")
			wait(time.Second)
			for range attempts {
				r.fail(r.try(), status)
			}
		}
	}
	return []scenarioCase{
		{"attempts on three workers where two are allowed", Budget, onWorkers(4, 3, false)},
		{"few attempts on three workers where two are allowed", "", onWorkers(3, 3, false)},
		{"attempts on three workers, one of which failed", "", onWorkers(4, 3, true)},
		{"attempts on two workers where two are allowed", "", onWorkers(9, 2, false)},
		{"a failure with the worker's digest and another status", Mixed, func(r *run) {
			attempt := r.try()
			arrival := *r.exec(attempt, r.w1)
			arrival.Status = 502
			r.reply(attempt, &arrival)
		}},
		{"many requests denied on a disconnected machine", Denied, denied(11, 404)},
		{"few requests denied on a disconnected machine", "", denied(5, 404)},
		{"other failures on a disconnected machine", "", denied(20, 400)},
		{"denied on a disconnected machine as one document requires", "", func(r *run) {
			r.documents = append(r.documents, &Document{Number: 2, FirstSentAt: time.Now(), EndedAt: time.Now()})
			denied(11, 404)(r)
		}},
	}
}
