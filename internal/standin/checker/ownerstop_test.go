package checker

import "time"

// ownerEndingScenarios has answers of the mesh's own in a stop, whose run ended with the node
// beside its worker.
func ownerEndingScenarios() []scenarioCase {
	return []scenarioCase{
		{"an own answer as the worker's node ends, in the last sixth of its grace", "", func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.Term("m2")
			wait(2 * time.Second)
			r.Term("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(3100 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"an own answer as the worker's node ends, before the last sixth of its grace", Lost, func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.Term("m2")
			wait(2 * time.Second)
			r.Term("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(2900 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"an own answer as the worker's node ends, of what others could have had", Lost, func(r *run) {
			attempt := r.try()
			attempt.Retryable = true
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.Term("m2")
			wait(2 * time.Second)
			r.Term("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(3100 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"an own answer in a stop, the run ended with its node before the order", Lost, func(r *run) {
			attempt := r.try()
			attempt.Retryable = true
			r.apply(2, "s", "u")
			r.setTimeouts(20 * time.Second)
			attempt.Timeout = 20 * time.Second
			r.Term("m2")
			arrival := r.exec(attempt, r.w2)
			wait(5200 * time.Millisecond)
			arrival.Status, arrival.Digest, arrival.End = 0, "", time.Now()
			wait(time.Second)
			r.Term("m1")
			wait(2 * time.Second)
			r.fail(attempt, 502)
		}},
		{"an own answer long after the worker's node ended, of what may not be repeated", Lost, func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(20 * time.Second)
			attempt.Timeout = 20 * time.Second
			r.Term("m2")
			arrival := r.exec(attempt, r.w2)
			wait(5200 * time.Millisecond)
			arrival.Status, arrival.Digest, arrival.End = 0, "", time.Now()
			r.Term("m1")
			wait(2 * time.Second)
			r.fail(attempt, 502)
		}},
		{"an own answer as the worker's node ends a second time, a first run ended with it before", Lost, func(r *run) {
			r.apply(2, "s", "u")
			r.setTimeouts(20 * time.Second)
			attempt := r.try()
			attempt.Timeout, attempt.Retryable = 20*time.Second, true
			r.Term("m2")
			r.exec(attempt, r.w2)
			wait(5100 * time.Millisecond)
			first := attempt.Arrivals[0]
			first.Status, first.Digest, first.End = 0, "", time.Now()
			r.Lives("m2")
			r.Term("m2")
			wait(time.Second)
			r.Term("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(4200 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"cut off as the worker's node ends", Lost, func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.Term("m2")
			wait(2 * time.Second)
			r.Term("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(3100 * time.Millisecond)
			r.cut(attempt)
		}},
		{"an own answer as the worker's node ends, begun late there", Lost, func(r *run) {
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			r.Term("m2")
			wait(3100 * time.Millisecond)
			attempt := r.try()
			attempt.Timeout = 10 * time.Second
			r.Term("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(2 * time.Second)
			r.fail(attempt, 502)
		}},
	}
}
