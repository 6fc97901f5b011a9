package checker

import "time"

// lateAnswerSlack is how late a final answer may be, and by how much the timeout passed to a
// worker may exceed the remaining time.
const lateAnswerSlack = 500 * time.Millisecond

// A test run may contain some late answers and some too long timeouts. They are a breach if
// there are lateAnswersAtLeast late ones and they are more than a quarter of the answers at
// risk, or more than handedTooMuchTolerated long ones and more than a fifth of the arrivals.
const (
	lateAnswersAtLeast     = 8
	lateAnswersDivisor     = 4
	handedTooMuchTolerated = 20
	handedTooMuchDivisor   = 5
)

// checkLateAnswers checks that connected machines answer requests that exceed their route's
// timeout soon after it (CONFIG).
func (w *Recorder) checkLateAnswers() {
	late, total := 0, 0
	var example *Attempt
	for _, attempt := range w.attemptOrder {
		longest, ok := w.longestTimeout(attempt)
		if !ok || attempt.Timeout <= longest+lateAnswerSlack || attempt.End.IsZero() || attempt.End.Sub(attempt.Start) <= longest || !w.Faults.connected(attempt.Ingress, attempt.Start, attempt.End) {
			continue
		}
		total++
		if attempt.End.Sub(attempt.Start) > longest+lateAnswerSlack {
			late++
			example = attempt
		}
	}
	if late >= lateAnswersAtLeast && late*lateAnswersDivisor > total {
		w.recordBreach(Config, "%d of %d requests that lasted longer than their path's time had no final answer %v after it, %s at %s among them", late, total, lateAnswerSlack, example.ID, example.Ingress)
	}
}

// longestTimeout returns the longest timeout of the attempt's route in any document that may
// have been in force while the client waited.
func (w *Recorder) longestTimeout(attempt *Attempt) (longest time.Duration, ok bool) {
	lowest := w.newestAcked(attempt.Start.Add(-w.Bounds.DocumentChange - w.Bounds.UnsettledExtension))
	for _, document := range w.documents {
		if route := document.Match(attempt.Host, attempt.URI); route != nil && document.Number >= lowest && document.mayBeInForce(attempt.End) && route.Timeout > 0 {
			longest, ok = max(longest, route.Timeout), true
		}
	}
	return longest, ok
}

// checkHandedTimeouts checks that the timeout passed to a worker does not exceed the remaining
// time of the attempt (BUDGET).
func (w *Recorder) checkHandedTimeouts() {
	tooLong, total := 0, 0
	var example *Arrival
	for _, arrival := range w.arrivals {
		attempt := arrival.Attempt
		if attempt == nil || attempt.Probe || !w.Faults.connected(attempt.Ingress, attempt.Start, arrival.ArrivedAt) || !w.Faults.connected(arrival.Worker.Machine, attempt.Start, arrival.ArrivedAt) {
			continue
		}
		total++
		if arrival.Timeout == 0 || arrival.Timeout > attempt.Timeout-arrival.ArrivedAt.Sub(attempt.Start)+lateAnswerSlack {
			tooLong++
			example = arrival
		}
	}
	if tooLong > handedTooMuchTolerated && tooLong*handedTooMuchDivisor > total {
		w.recordBreach(Budget, "%d of %d arrivals had more time than was left, %s at %s %v among them", tooLong, total, example.Attempt.ID, example.Worker.Name, example.Timeout)
	}
}
