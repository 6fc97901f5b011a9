package checker

import (
	"fmt"
	"time"
)

// leavingScenarios has what reaches a worker that left and what planned work breaks off,
// beside what others broke off.
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
			r.Term("m1")
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
			r.Term("m1")
			wait(after)
			r.fail(t, 504)
		}}
	}
	// sentAt has a request sent at a time after the order, which ends with an answer of
	// the mesh's own in the last sixth of the grace.
	meshAnswerSentAt := func(name, rule string, after time.Duration) scenarioCase {
		return scenarioCase{name, rule, func(r *run) {
			r.Term("m1")
			wait(after)
			t := r.try()
			executeLong(r, t)
			wait(5500*time.Millisecond - after)
			r.fail(t, 504)
		}}
	}
	return []scenarioCase{
		{"sent after the bound", Drain, func(r *run) { sentAfterLeave(r, "m1") }},
		{"sent after the bound, unsettled", "", func(r *run) { r.Touch.Core("kill"); sentAfterLeave(r, "m1") }},
		{"sent after the bound, acknowledged by one out of touch", Drain, func(r *run) { r.Touch.Begin("m2", "killed")(); sentAfterLeave(r, "m2") }},
		{"sent within the bound", "", func(r *run) { r.LeaveSent(r.w1); r.LeaveAcked(r.w1, "m1"); wait(time.Second); r.serve() }},
		{"cut off at work", Lost, cutAt(10*time.Millisecond, execute)},
		{"cut off unsent, late", Lost, cutAt(300*time.Millisecond, func(*run, *Attempt) {})},
		{"cut off unsent, soon", "", cutAt(100*time.Millisecond, func(*run, *Attempt) {})},
		{"the worker broke off", "", cutAt(10*time.Millisecond, func(r *run, t *Attempt) { execute(r, t); t.Arrivals[0].WorkerFailed = true })},
		{"the deadline was reached", "", cutAt(2*time.Second, execute)},
		{"cut off in trouble", "", cutAt(10*time.Millisecond, func(r *run, t *Attempt) { execute(r, t); r.Touch.Core("kill") })},
		{"an own answer in the worker's place", Lost, func(r *run) {
			t := r.try()
			r.Term("m1")
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			r.fail(t, 502)
		}},
		meshAnswerAt("an own answer in the first half of the grace", Lost, 2900*time.Millisecond),
		meshAnswerAt("an own answer in the second half, the worker at work", Lost, 3100*time.Millisecond),
		meshAnswerAt("an own answer right before the last sixth, the worker at work", Lost, 4900*time.Millisecond),
		meshAnswerAt("an own answer in the last sixth, the worker at work", "", 5100*time.Millisecond),
		{"cut off in the first half of the grace", Lost, cutAt(2900*time.Millisecond, executeLong)},
		{"cut off in the second half, the worker at work", Lost, cutAt(3100*time.Millisecond, executeLong)},
		{"cut off right before the last sixth, the worker at work", Lost, cutAt(4900*time.Millisecond, executeLong)},
		{"cut off in the last sixth, the worker at work", "", cutAt(5100*time.Millisecond, executeLong)},
		{"cut off in the last sixth, the worker done before", Lost, cutAt(5100*time.Millisecond, func(r *run, t *Attempt) {
			r.setTimeouts(10 * time.Second)
			t.Timeout = 10 * time.Second
			r.exec(t, r.w1)
		})},
		meshAnswerSentAt("sent early in the stop, the worker at work in the last sixth", "", 2900*time.Millisecond),
		meshAnswerSentAt("sent late in the stop, the worker at work in the last sixth", Lost, 3100*time.Millisecond),
		{"an own answer after a run that was broken off", Lost, func(r *run) {
			t := r.try()
			executeLong(r, t)
			r.Term("m1")
			wait(100 * time.Millisecond)
			v := t.Arrivals[0]
			v.Status, v.Digest, v.End = 0, "", time.Now()
			wait(50 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"busy after a run that was broken off", Lost, func(r *run) {
			t := r.try()
			t.Retryable = true
			executeLong(r, t)
			r.Term("m1")
			wait(100 * time.Millisecond)
			v := t.Arrivals[0]
			v.Status, v.Digest, v.End = 0, "", time.Now()
			r.fail(t, 503)
		}},
		{"an own answer, the settings changed before the order to end", Lost, func(r *run) {
			r.Hup("m1")
			t := r.try()
			executeLong(r, t)
			r.Term("m1")
			wait(time.Second)
			r.fail(t, 504)
		}},
		{"told to end twice, the worker at work in the last sixth of the first grace", "", func(r *run) {
			t := r.try()
			executeLong(r, t)
			r.Term("m1")
			wait(time.Second)
			r.Term("m1")
			wait(4100 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"told to end in two lives", Lost, func(r *run) {
			r.Term("m1")
			wait(time.Second)
			r.Lives("m1")
			r.Term("m1")
			t := r.try()
			executeLong(r, t)
			wait(4500 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"an own answer ahead of what the client told", Lost, func(r *run) {
			t := r.try()
			t.Timeout, t.SentTimeout = 1000500*time.Microsecond, time.Second
			r.Term("m1")
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			wait(988 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"an own answer at the time that the client told", "", func(r *run) {
			t := r.try()
			t.Timeout, t.SentTimeout = 1000500*time.Microsecond, time.Second
			r.Term("m1")
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			wait(989 * time.Millisecond)
			r.fail(t, 504)
		}},
		{"an own answer with no order", "", func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.End = time.Time{}
			r.fail(t, 502)
		}},
		{"cut off around a change", Lost, func(r *run) { r.apply(2, "s"); t := r.try(); execute(r, t); r.cut(t) }},
		{"cut off at the settings' change", Lost, func(r *run) { r.Hup("m1"); t := r.try(); execute(r, t); r.cut(t) }},
		{"leaves unheard", Acks, func(r *run) {
			for i := range 3 {
				worker := &Worker{Name: fmt.Sprint("w", i), Service: "s", Machine: "m1"}
				r.WorkerStarted(worker)
				r.LeaveSent(worker)
			}
			wait(5 * time.Second)
		}},
	}
}
