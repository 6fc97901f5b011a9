package checker

import "time"

// timeoutScenarios breaks what is promised of a path's time and of the time handed to workers.
func timeoutScenarios() []scenarioCase {
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
		{"held past the path's time", Config, answeredAfter(8, 600*time.Millisecond)},
		{"held a little past it", "", answeredAfter(12, 400*time.Millisecond)},
		{"held past it now and then", "", answeredAfter(7, 600*time.Millisecond)},
		{"handed more time than is left", Budget, handedTimeout(21, 1600*time.Millisecond)},
		{"handed none", Budget, handedTimeout(21, 0)},
		{"handed what is left", "", handedTimeout(40, 950*time.Millisecond)},
		{"handed more now and then", "", handedTimeout(20, 1600*time.Millisecond)},
	}
}
