package checker

import (
	"fmt"
	"time"
)

// leavingScenarios has requests that reach a worker that left, and requests that planned work
// cuts off, as opposed to those cut off by a worker, a deadline or a disturbance.
func leavingScenarios() []scenarioCase {
	sentAfterLeave := func(r *run, node string) {
		r.LeaveSent(r.w1)
		r.LeaveAcked(r.w1, node)
		wait(2100 * time.Millisecond)
		r.serve()
	}
	cutAt := func(after time.Duration, change func(r *run, t *Attempt)) func(r *run) {
		return func(r *run) {
			t := r.try()
			change(r, t)
			r.StopSignaled("m1")
			wait(after)
			r.cut(t)
		}
	}
	execute := func(r *run, t *Attempt) { v := r.exec(t, r.w1); v.End = time.Time{} }
	executeLong := func(r *run, t *Attempt) { r.setTimeouts(10 * time.Second); t.Timeout = 10 * time.Second; execute(r, t) }
	meshAnswerAt := func(name, rule string, after time.Duration) scenarioCase {
		return scenarioCase{name, rule, func(r *run) {
			t := r.try()
			executeLong(r, t)
			r.StopSignaled("m1")
			wait(after)
			r.fail(t, 504)
		}}
	}
	// meshAnswerSentAt sends a request the given time after the stop signal. The mesh itself
	// answers it in the last sixth of the grace period.
	meshAnswerSentAt := func(name, rule string, after time.Duration) scenarioCase {
		return scenarioCase{name, rule, func(r *run) {
			r.StopSignaled("m1")
			wait(after)
			t := r.try()
			executeLong(r, t)
			wait(5500*time.Millisecond - after)
			r.fail(t, 504)
		}}
	}
	return []scenarioCase{
		{"sent to a worker after the leave bound", Drain, func(r *run) { sentAfterLeave(r, "m1") }},
		{"sent after the leave bound, control plane unsettled", "", func(r *run) { r.Faults.Unsettle("kill"); sentAfterLeave(r, "m1") }},
		{"sent after the leave bound, acknowledged by a disconnected node", Drain, func(r *run) { r.Faults.Begin("m2", "killed")(); sentAfterLeave(r, "m2") }},
		{"sent within the leave bound", "", func(r *run) { r.LeaveSent(r.w1); r.LeaveAcked(r.w1, "m1"); wait(time.Second); r.serve() }},
		{"cut off during execution", Lost, cutAt(10*time.Millisecond, execute)},
		{"cut off unforwarded, late", Lost, cutAt(300*time.Millisecond, func(*run, *Attempt) {})},
		{"cut off unforwarded, soon", "", cutAt(100*time.Millisecond, func(*run, *Attempt) {})},
		{"cut off by the worker", "", cutAt(10*time.Millisecond, func(r *run, t *Attempt) { execute(r, t); t.Arrivals[0].WorkerFailed = true })},
		{"cut off at the deadline", "", cutAt(2*time.Second, execute)},
		{"cut off during a disturbance", "", cutAt(10*time.Millisecond, func(r *run, t *Attempt) { execute(r, t); r.Faults.Unsettle("kill") })},
		{"a mesh answer during execution", Lost, func(r *run) {
			t := r.try()
			r.StopSignaled("m1")
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			r.fail(t, 502)
		}},
		meshAnswerAt("a mesh answer in the first half of the grace period", Lost, 2900*time.Millisecond),
		meshAnswerAt("a mesh answer in the second half, still executing", Lost, 3100*time.Millisecond),
		meshAnswerAt("a mesh answer right before the last sixth, still executing", Lost, 4900*time.Millisecond),
		meshAnswerAt("a mesh answer in the last sixth, still executing", "", 5100*time.Millisecond),
		{"cut off in the first half of the grace period", Lost, cutAt(2900*time.Millisecond, executeLong)},
		{"cut off in the second half, still executing", Lost, cutAt(3100*time.Millisecond, executeLong)},
		{"cut off right before the last sixth, still executing", Lost, cutAt(4900*time.Millisecond, executeLong)},
		{"cut off in the last sixth, still executing", "", cutAt(5100*time.Millisecond, executeLong)},
		{"cut off in the last sixth, executed before", Lost, cutAt(5100*time.Millisecond, func(r *run, t *Attempt) {
			r.setTimeouts(10 * time.Second)
			t.Timeout = 10 * time.Second
			r.exec(t, r.w1)
		})},
		meshAnswerSentAt("sent early in the grace period, still executing in the last sixth", "", 2900*time.Millisecond),
		meshAnswerSentAt("sent late in the grace period, still executing in the last sixth", Lost, 3100*time.Millisecond),
		{"a mesh answer after an execution that was cut off", Lost, func(r *run) {
			t := r.try()
			executeLong(r, t)
			r.StopSignaled("m1")
			wait(100 * time.Millisecond)
			v := t.Arrivals[0]
			v.Status, v.Digest, v.End = 0, "", time.Now()
			wait(50 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"503 after an execution that was cut off", Lost, func(r *run) {
			t := r.try()
			t.Retryable = true
			executeLong(r, t)
			r.StopSignaled("m1")
			wait(100 * time.Millisecond)
			v := t.Arrivals[0]
			v.Status, v.Digest, v.End = 0, "", time.Now()
			r.fail(t, 503)
		}},
		{"a mesh answer after a reload and a stop signal", Lost, func(r *run) {
			r.ReloadSignaled("m1")
			t := r.try()
			executeLong(r, t)
			r.StopSignaled("m1")
			wait(time.Second)
			r.fail(t, 504)
		}},
		{"a second stop signal, still executing in the last sixth of the first grace period", "", func(r *run) {
			t := r.try()
			executeLong(r, t)
			r.StopSignaled("m1")
			wait(time.Second)
			r.StopSignaled("m1")
			wait(4100 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"stop signals before and after a restart", Lost, func(r *run) {
			r.StopSignaled("m1")
			wait(time.Second)
			r.Restarted("m1")
			r.StopSignaled("m1")
			t := r.try()
			executeLong(r, t)
			wait(4500 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"a mesh answer before the timeout that the client sent", Lost, func(r *run) {
			t := r.try()
			t.Timeout, t.SentTimeout = 1000500*time.Microsecond, time.Second
			r.StopSignaled("m1")
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			wait(988 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"a mesh answer at the timeout that the client sent", "", func(r *run) {
			t := r.try()
			t.Timeout, t.SentTimeout = 1000500*time.Microsecond, time.Second
			r.StopSignaled("m1")
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			wait(989 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"a mesh answer without a signal", "", func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			r.fail(t, 502)
		}},
		{"cut off around a change of the document", Lost, func(r *run) { r.apply(2, "s"); t := r.try(); execute(r, t); r.cut(t) }},
		{"cut off around a reload", Lost, func(r *run) { r.ReloadSignaled("m1"); t := r.try(); execute(r, t); r.cut(t) }},
		{"leave notices without acknowledgement", Acks, func(r *run) {
			for i := range 3 {
				worker := &Worker{Name: fmt.Sprint("w", i), Service: "s", Machine: "m1"}
				r.WorkerStarted(worker)
				r.LeaveSent(worker)
			}
			wait(5 * time.Second)
		}},
	}
}
