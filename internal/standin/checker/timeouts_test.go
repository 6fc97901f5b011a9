package checker

import "time"

// lateAnswerScenarios exceeds the timeout of the route, or the timeout passed to workers, by more
// than allowed; the cases without a rule stay just within them.
func lateAnswerScenarios() []scenarioCase {
	answeredAfter := func(count int, after time.Duration) func(r *run) {
		return func(r *run) {
			for range count {
				attempt := r.try()
				attempt.Timeout = 5 * time.Second
				wait(time.Second + after)
				r.fail(attempt, 504)
			}
		}
	}
	handedTimeout := func(count int, timeout time.Duration) func(r *run) {
		return func(r *run) {
			for range count {
				attempt := r.try()
				arrival := r.exec(attempt, r.w1)
				arrival.Timeout = timeout
				r.reply(attempt, arrival)
			}
		}
	}
	return []scenarioCase{
		{"answers long after the route's timeout", Config, answeredAfter(8, 600*time.Millisecond)},
		{"answers soon after the route's timeout", "", answeredAfter(12, 400*time.Millisecond)},
		{"few answers long after the route's timeout", "", answeredAfter(7, 600*time.Millisecond)},
		{"workers get more than the remaining time", Budget, handedTimeout(21, 1600*time.Millisecond)},
		{"workers get no timeout", Budget, handedTimeout(21, 0)},
		{"workers get the remaining time", "", handedTimeout(40, 950*time.Millisecond)},
		{"few workers get more than the remaining time", "", handedTimeout(20, 1600*time.Millisecond)},
	}
}
