package standin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestObserverDetectsFaults checks that each kind of violation is detected, and that a correct
// run counts none.
func TestObserverDetectsFaults(t *testing.T) {
	now := time.Now
	served := func(observer *Observer, id string, version uint64) Call {
		return Call{ID: id, Ingress: "f", Service: "s", From: now(), To: now(), Status: 200, Version: version, Body: "s|w|job|" + id + "|0"}
	}
	worker := &Worker{Service: "s", ID: "w"}
	for _, c := range []struct {
		kind string
		act  func(observer *Observer)
	}{
		{"", func(observer *Observer) {
			for i := range 40 {
				id := fmt.Sprint("ok", i)
				observer.recordExecution("j", id, worker, "s", time.Time{})
				observer.RecordCall(served(observer, id, 1))
			}
		}},
		{Twice, func(observer *Observer) {
			observer.recordExecution("j", "a", worker, "s", time.Time{})
			observer.recordExecution("j", "a", worker, "s", time.Time{})
			observer.RecordCall(served(observer, "a", 1))
		}},
		{RanThoughBusy, func(observer *Observer) {
			observer.recordExecution("j", "a", worker, "s", time.Time{})
			observer.RecordCall(Call{ID: "a", Status: 503})
		}},
		{NotWorkersAnswer, func(observer *Observer) {
			observer.recordExecution("j", "a", worker, "s", time.Time{})
			c := served(observer, "a", 1)
			c.Body = "s|w|job|b|0"
			observer.RecordCall(c)
		}},
		{NotWorkersAnswer, func(observer *Observer) { observer.RecordCall(served(observer, "never ran", 1)) }},
		{Misdelivered, func(observer *Observer) { observer.recordExecution("j", "a", worker, "other", time.Time{}) }},
		{SentAfterLeave, func(observer *Observer) { observer.recordExecution("j", "a", worker, "s", now().Add(-3*time.Second)) }},
		{StaleVersion, func(observer *Observer) {
			observer.VersionAcked(2)
			<-time.After(3 * time.Second)
			observer.recordExecution("j", "a", worker, "s", time.Time{})
			observer.RecordCall(served(observer, "a", 1))
		}},
		{VersionStepBack, func(observer *Observer) {
			for i, version := range []uint64{2, 1} {
				id := fmt.Sprint(i)
				observer.recordExecution("j", id, worker, "s", time.Time{})
				observer.RecordCall(served(observer, id, version))
				<-time.After(time.Millisecond)
			}
		}},
		{TooManyRetries, func(observer *Observer) {
			for range 13 {
				observer.recordExecution("j", "a", worker, "s", time.Time{})
			}
		}},
		{CutOff, func(observer *Observer) {
			observer.recordExecution("j", "a", worker, "s", time.Time{})
			c := served(observer, "a", 1)
			c.Status, c.Cut = 500, true
			observer.RecordCall(c)
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			observer := NewObserver()
			c.act(observer)
			violations, _ := observer.Violations()
			if c.kind == "" && len(violations) > 0 {
				t.Errorf("violations in a correct run: %v", violations)
			}
			if c.kind != "" && violations[c.kind] == 0 {
				t.Errorf("violation %s was not detected: %v", c.kind, violations)
			}
		})
	}
}
