package shutdown

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSchedule: for grace periods of any length the bounds of a stop follow each
// other, answers are waited for until the last sixth has begun, and what may last
// until the end is begun in the first half only.
func TestSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, length := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 15 * time.Second, time.Minute} {
			s := Begin(length, length/30)
			began := time.Now()
			bounds := []time.Time{began, s.LongWorkDeadline(), began.Add(length / 2), began.Add(length*5/6 + length/40), s.WaitDeadline(), s.AnswerDeadline(), s.End(), began.Add(length)}
			for i := 1; i < len(bounds); i++ {
				if !bounds[i].After(bounds[i-1]) {
					t.Errorf("grace of %v: bound %d is %v after the order, bound %d %v", length, i, bounds[i].Sub(began), i-1, bounds[i-1].Sub(began))
				}
			}
			if long := s.LongWorkDeadline().Sub(began); long >= 3*time.Second {
				t.Errorf("grace of %v: work is begun that may last until the end %v after the order", length, long)
			}
			<-time.After(length / 4)
			if s.Elapsed() != length/4 || s.RemainingWait() != s.WaitDeadline().Sub(began)-length/4 {
				t.Errorf("grace of %v: %v after the order, waits for %v", length, s.Elapsed(), s.RemainingWait())
			}
		}
	})
}

// TestLate: what is bound before and after the end of waiting ends with its cause,
// and what ended by itself keeps its own.
func TestLate(t *testing.T) {
	l := NewCutoff(t.Context())
	before, stop := l.Bind(t.Context())
	defer stop()
	left, leave := context.WithCancel(t.Context())
	gone, stopGone := l.Bind(left)
	defer stopGone()
	leave()
	<-gone.Done()
	if before.Err() != nil || IsCutoff(gone) || context.Cause(gone) != context.Canceled {
		t.Errorf("before the end: %v, %v", before.Err(), context.Cause(gone))
	}
	l.Trigger()
	<-before.Done()
	after, stopAfter := l.Bind(t.Context())
	defer stopAfter()
	<-after.Done()
	if !IsCutoff(before) || !IsCutoff(after) || IsCutoff(gone) {
		t.Errorf("after the end: %v, %v, %v", context.Cause(before), context.Cause(after), context.Cause(gone))
	}
}
