package checker

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestServedCountsEarlyLeavers checks that a client that leaves early need not be served, and
// counts if it was.
func TestServedCountsEarlyLeavers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testRun := newRun()
		testRun.serve()
		testRun.fail(testRun.try(), 503)
		left := testRun.try()
		left.LeavesEarly = true
		testRun.AttemptEnded(left, Answer{ClientClosed: true})
		servedEarly, _ := testRun.serve()
		servedEarly.LeavesEarly = true
		if served, owed := testRun.Served("", time.Time{}, time.Now()); served != 2 || owed != 3 {
			t.Errorf("%d of %d served, want 2 of 3", served, owed)
		}
	})
}

// callerGoneScenarios has callers that leave. Requests that reach a worker late after that,
// and retryable ones that go on executing, are breaches; those that end in time are not.
func callerGoneScenarios() []scenarioCase {
	startAttempt := func(r *run, retryable bool) *Attempt {
		t := r.try()
		t.Retryable = retryable
		return t
	}
	leave := func(r *run, t *Attempt) { r.AttemptEnded(t, Answer{ClientClosed: true, RequestRead: true}) }
	atWork := func(r *run, retryable bool) (*Attempt, *Arrival) {
		t := startAttempt(r, retryable)
		v := r.exec(t, r.w1)
		v.End = time.Time{}
		wait(100 * time.Millisecond)
		leave(r, t)
		return t, v
	}
	return []scenarioCase{
		{"execution continues", Gone, func(r *run) { atWork(r, true); wait(time.Second) }},
		{"execution continues, but must not be retried", "", func(r *run) { atWork(r, false); wait(time.Second) }},
		{"execution ends in time", "", func(r *run) { _, v := atWork(r, true); wait(400 * time.Millisecond); v.End = time.Now() }},
		{"execution ends late", Gone, func(r *run) { _, v := atWork(r, true); wait(600 * time.Millisecond); v.End = time.Now() }},
		{"execution continues on a disconnected machine", "", func(r *run) { r.Faults.Begin("m1", "frozen"); atWork(r, true); wait(time.Second) }},
		{"the request reaches a worker late", Gone, func(r *run) {
			t := startAttempt(r, false)
			leave(r, t)
			wait(600 * time.Millisecond)
			r.exec(t, r.w1)
		}},
		{"the request reaches a worker soon", "", func(r *run) {
			t := startAttempt(r, true)
			leave(r, t)
			wait(300 * time.Millisecond)
			r.exec(t, r.w1)
		}},
	}
}
