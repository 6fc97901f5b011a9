package checker

import "time"

// ownerEndingScenarios has requests that the mesh itself answers during a shutdown of their
// ingress, and whose execution ends because the owner, the node beside the worker, stops too.
func ownerEndingScenarios() []scenarioCase {
	return []scenarioCase{
		{"a mesh answer as the owner stops, in the last sixth of its grace period", "", func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.StopSignaled("m2")
			wait(2 * time.Second)
			r.StopSignaled("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(3100 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"a mesh answer as the owner stops, before the last sixth of its grace period", Lost, func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.StopSignaled("m2")
			wait(2 * time.Second)
			r.StopSignaled("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(2900 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"a mesh answer to a retryable request as the owner stops", Lost, func(r *run) {
			attempt := r.try()
			attempt.Retryable = true
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.StopSignaled("m2")
			wait(2 * time.Second)
			r.StopSignaled("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(3100 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"a mesh answer to a retryable request whose owner had stopped before", Lost, func(r *run) {
			attempt := r.try()
			attempt.Retryable = true
			r.apply(2, "s", "u")
			r.setTimeouts(20 * time.Second)
			attempt.Timeout = 20 * time.Second
			r.StopSignaled("m2")
			arrival := r.exec(attempt, r.w2)
			wait(5200 * time.Millisecond)
			arrival.Status, arrival.Digest, arrival.End = 0, "", time.Now()
			wait(time.Second)
			r.StopSignaled("m1")
			wait(2 * time.Second)
			r.fail(attempt, 502)
		}},
		{"a mesh answer to a request that must not be retried, long after the owner stopped", Lost, func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(20 * time.Second)
			attempt.Timeout = 20 * time.Second
			r.StopSignaled("m2")
			arrival := r.exec(attempt, r.w2)
			wait(5200 * time.Millisecond)
			arrival.Status, arrival.Digest, arrival.End = 0, "", time.Now()
			r.StopSignaled("m1")
			wait(2 * time.Second)
			r.fail(attempt, 502)
		}},
		{"a mesh answer as the owner stops again, after a first execution ended with it", Lost, func(r *run) {
			r.apply(2, "s", "u")
			r.setTimeouts(20 * time.Second)
			attempt := r.try()
			attempt.Timeout, attempt.Retryable = 20*time.Second, true
			r.StopSignaled("m2")
			r.exec(attempt, r.w2)
			wait(5100 * time.Millisecond)
			first := attempt.Arrivals[0]
			first.Status, first.Digest, first.End = 0, "", time.Now()
			r.Restarted("m2")
			r.StopSignaled("m2")
			wait(time.Second)
			r.StopSignaled("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(4200 * time.Millisecond)
			r.fail(attempt, 502)
		}},
		{"cut off as the owner stops", Lost, func(r *run) {
			attempt := r.try()
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			attempt.Timeout = 10 * time.Second
			r.StopSignaled("m2")
			wait(2 * time.Second)
			r.StopSignaled("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(3100 * time.Millisecond)
			r.cut(attempt)
		}},
		{"a mesh answer as the owner stops, sent late in its grace period", Lost, func(r *run) {
			r.apply(2, "s", "u")
			r.setTimeouts(10 * time.Second)
			r.StopSignaled("m2")
			wait(3100 * time.Millisecond)
			attempt := r.try()
			attempt.Timeout = 10 * time.Second
			r.StopSignaled("m1")
			arrival := r.exec(attempt, r.w2)
			arrival.End = time.Time{}
			wait(2 * time.Second)
			r.fail(attempt, 502)
		}},
	}
}
