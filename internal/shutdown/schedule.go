// Package shutdown divides the grace period of a process that was told to end. All
// bounds of a stop are counted backwards from the moment at which the process is
// killed, and stand here alone.
package shutdown

import "time"

// The parts of a grace period, each as a divisor of it.
const (
	exitDivisor       = 20 // kept for the end of the process on a busy processor
	answerDivisor     = 20 // for writing the answers to what could not be waited for
	longWorkDivisor   = 12 // with longFraction: long work is begun in the first five twelfths
	longWorkNumerator = 5
)

// MaxLongWork bounds the time after the order to end in which work is begun that may
// last until the end, whatever the grace period is: from 3 s on callers can't be told
// that it did not end, and the order takes time to be read on a busy processor.
const MaxLongWork = 2500 * time.Millisecond

// Schedule is the plan of one stop.
type Schedule struct {
	began       time.Time
	gracePeriod time.Duration
	farewell    time.Duration
}

// Begin plans a stop that begins now. The length is the grace period, and parting the
// time for goodbyes to other nodes.
func Begin(gracePeriod, farewell time.Duration) *Schedule {
	return &Schedule{began: time.Now(), gracePeriod: gracePeriod, farewell: farewell}
}

// Elapsed is how long ago the stop began.
func (s *Schedule) Elapsed() time.Duration { return time.Since(s.began) }

// LongWorkDeadline is until when work is begun that may be under way when answers are
// waited for no more. Later only what is certain to end before that is begun.
func (s *Schedule) LongWorkDeadline() time.Time {
	return s.began.Add(min(s.gracePeriod*longWorkNumerator/longWorkDivisor, MaxLongWork))
}

// WaitDeadline is until when answers to what is under way are waited for: thirteen
// fifteenths of the grace period, with a parting of a thirtieth.
func (s *Schedule) WaitDeadline() time.Time {
	return s.AnswerDeadline().Add(-s.gracePeriod / answerDivisor)
}

// AnswerDeadline is until when whoever was waited for in vain is told so.
func (s *Schedule) AnswerDeadline() time.Time { return s.End().Add(-s.farewell) }

// End is when the process is to have ended by itself.
func (s *Schedule) End() time.Time { return s.began.Add(s.gracePeriod - s.gracePeriod/exitDivisor) }

// RemainingWait is how long answers are still waited for, negative when they are not.
func (s *Schedule) RemainingWait() time.Duration { return time.Until(s.WaitDeadline()) }
