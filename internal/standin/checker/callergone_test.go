package checker

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestServedCountsEarlyLeavers: nothing is owed to a client that leaves early, unless it was served.
func TestServedCountsEarlyLeavers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRun()
		r.serve()
		r.fail(r.try(), 503)
		left := r.try()
		left.LeavesEarly = true
		r.AttemptEnded(left, Answer{ClientClosed: true})
		servedEarly, _ := r.serve()
		servedEarly.LeavesEarly = true
		if served, owed := r.Served("", time.Time{}, time.Now()); served != 2 || owed != 3 {
			t.Errorf("%d of %d served, want 2 of 3", served, owed)
		}
	})
}

// callerGoneScenarios breaks what is promised of callers that leave: what reaches a worker late for a caller that left, and what may be
// repeated and runs on for one, is blamed; what ends in time is not.
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
		{"runs on", Gone, func(r *run) { atWork(r, true); wait(time.Second) }},
		{"runs on, but is not to be repeated", "", func(r *run) { atWork(r, false); wait(time.Second) }},
		{"ends in time", "", func(r *run) { _, v := atWork(r, true); wait(400 * time.Millisecond); v.End = time.Now() }},
		{"ends late", Gone, func(r *run) { _, v := atWork(r, true); wait(600 * time.Millisecond); v.End = time.Now() }},
		{"runs on, its machine out of touch", "", func(r *run) { r.Touch.Begin("m1", "frozen"); atWork(r, true); wait(time.Second) }},
		{"reaches a worker late", Gone, func(r *run) {
			t := startAttempt(r, false)
			leave(r, t)
			wait(600 * time.Millisecond)
			r.exec(t, r.w1)
		}},
		{"reaches a worker soon", "", func(r *run) {
			t := startAttempt(r, true)
			leave(r, t)
			wait(300 * time.Millisecond)
			r.exec(t, r.w1)
		}},
	}
}
