// Package shutdown divides the grace period of a process that received a stop
// signal. All deadlines of a shutdown are counted back from the moment at which the
// process is killed, and are defined in this package only.
package shutdown

import "time"

// The parts of a grace period, each as a divisor of it.
const (
	exitDivisor       = 20 // reserved for the exit of the process on a busy CPU
	answerDivisor     = 20 // for answering requests whose results can no longer be waited for
	longWorkDivisor   = 12 // with longWorkNumerator: long work is started in the first five twelfths
	longWorkNumerator = 5
)

// MaxLongWork bounds the time after the stop signal in which work is started that
// may last until the process ends, however long the grace period is: from 3 s on,
// callers can no longer be told that such work did not end, and on a busy CPU it
// takes time until the signal is handled.
const MaxLongWork = 2500 * time.Millisecond

// Schedule holds the deadlines of one shutdown.
type Schedule struct {
	began       time.Time
	gracePeriod time.Duration
	farewell    time.Duration
}

// Begin plans a shutdown that begins now. farewell is the time reserved for goodbye
// messages to other nodes.
func Begin(gracePeriod, farewell time.Duration) *Schedule {
	return &Schedule{began: time.Now(), gracePeriod: gracePeriod, farewell: farewell}
}

// Elapsed returns the time since the shutdown began.
func (s *Schedule) Elapsed() time.Duration { return time.Since(s.began) }

// LongWorkDeadline is until when work may be started that could still be running at
// WaitDeadline. After it only work that is certain to end before then is started.
func (s *Schedule) LongWorkDeadline() time.Time {
	return s.began.Add(min(s.gracePeriod*longWorkNumerator/longWorkDivisor, MaxLongWork))
}

// WaitDeadline is until when the results of running work are waited for: thirteen
// fifteenths of the grace period, if farewell is a thirtieth of it.
func (s *Schedule) WaitDeadline() time.Time {
	return s.AnswerDeadline().Add(-s.gracePeriod / answerDivisor)
}

// AnswerDeadline is until when callers whose results did not come are told so.
func (s *Schedule) AnswerDeadline() time.Time { return s.End().Add(-s.farewell) }

// End is when the process should have exited by itself.
func (s *Schedule) End() time.Time { return s.began.Add(s.gracePeriod - s.gracePeriod/exitDivisor) }

// RemainingWait returns how long results are still waited for; it is negative after
// WaitDeadline.
func (s *Schedule) RemainingWait() time.Duration { return time.Until(s.WaitDeadline()) }
