package shutdown

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSchedule: for grace periods of any length the deadlines of a shutdown follow
// each other in order, results are waited for until the last sixth has begun, and
// work that may last until the end is started in the first half only.
func TestSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, gracePeriod := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 15 * time.Second, time.Minute} {
			schedule := Begin(gracePeriod, gracePeriod/30)
			began := time.Now()
			bounds := []time.Time{began, schedule.LongWorkDeadline(), began.Add(gracePeriod / 2), began.Add(gracePeriod*5/6 + gracePeriod/40), schedule.WaitDeadline(), schedule.AnswerDeadline(), schedule.End(), began.Add(gracePeriod)}
			for i := 1; i < len(bounds); i++ {
				if !bounds[i].After(bounds[i-1]) {
					t.Errorf("grace period of %v: deadline %d is %v after the stop signal, deadline %d %v", gracePeriod, i, bounds[i].Sub(began), i-1, bounds[i-1].Sub(began))
				}
			}
			if longWork := schedule.LongWorkDeadline().Sub(began); longWork >= 3*time.Second {
				t.Errorf("grace period of %v: long work is started until %v after the stop signal", gracePeriod, longWork)
			}
			<-time.After(gracePeriod / 4)
			if schedule.Elapsed() != gracePeriod/4 || schedule.RemainingWait() != schedule.WaitDeadline().Sub(began)-gracePeriod/4 {
				t.Errorf("grace period of %v: elapsed %v, remaining wait %v", gracePeriod, schedule.Elapsed(), schedule.RemainingWait())
			}
		}
	})
}

// TestCutoff: contexts bound before and after the cutoff end with its cause, and
// one that ended by itself keeps its own cause.
func TestCutoff(t *testing.T) {
	cutoff := NewCutoff(t.Context())
	before, stop := cutoff.Bind(t.Context())
	defer stop()
	canceled, cancel := context.WithCancel(t.Context())
	ended, stopEnded := cutoff.Bind(canceled)
	defer stopEnded()
	cancel()
	<-ended.Done()
	if before.Err() != nil || IsCutoff(ended) || context.Cause(ended) != context.Canceled {
		t.Errorf("before the cutoff: %v, %v", before.Err(), context.Cause(ended))
	}
	cutoff.Trigger()
	<-before.Done()
	after, stopAfter := cutoff.Bind(t.Context())
	defer stopAfter()
	<-after.Done()
	if !IsCutoff(before) || !IsCutoff(after) || IsCutoff(ended) {
		t.Errorf("after the cutoff: %v, %v, %v", context.Cause(before), context.Cause(after), context.Cause(ended))
	}
}
