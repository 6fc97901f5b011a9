package checker

import "time"

// How late a final answer, and how much too long the time handed to a worker may be.
const timeoutSlack = 500 * time.Millisecond

// What a day may hold of each before it is a breach: so many, and such a part of
// those that were at risk.
const (
	lateAnswersAtLeast = 8
	lateAnswersDivisor = 4 // one over it
	handedTolerated    = 20
	handedDivisor      = 5 // one over it
)

// checkLateAnswers: requests that last longer than their path's time have a final answer soon
// after it, at machines in touch.
func (w *Witness) checkLateAnswers() {
	late, total := 0, 0
	var example *Attempt
	for _, attempt := range w.attemptOrder {
		longest, ok := w.longestTimeout(attempt)
		if !ok || attempt.Timeout <= longest+timeoutSlack || attempt.End.IsZero() || attempt.End.Sub(attempt.Start) <= longest || !w.Touch.connected(attempt.Ingress, attempt.Start, attempt.End) {
			continue
		}
		total++
		if attempt.End.Sub(attempt.Start) > longest+timeoutSlack {
			late++
			example = attempt
		}
	}
	if late >= lateAnswersAtLeast && late*lateAnswersDivisor > total {
		w.recordBreach(Config, "%d of %d requests that lasted longer than their path's time had no final answer %v after it, %s at %s among them", late, total, timeoutSlack, example.ID, example.Ingress)
	}
}

// longestTimeout is the longest time of a try's path in any document that may have been
// in force while it waited.
func (w *Witness) longestTimeout(attempt *Attempt) (longest time.Duration, ok bool) {
	lowest := w.newestAcked(attempt.Start.Add(-w.B.Change - w.B.Stretch))
	for _, document := range w.documents {
		if route := document.Match(attempt.Host, attempt.URI); route != nil && document.Number >= lowest && document.mayBeInForce(attempt.End) && route.Timeout > 0 {
			longest, ok = max(longest, route.Timeout), true
		}
	}
	return longest, ok
}

// checkHandedTimeouts: workers are handed no more time than is left.
func (w *Witness) checkHandedTimeouts() {
	over, total := 0, 0
	var example *Arrival
	for _, arrival := range w.arrivals {
		attempt := arrival.Attempt
		if attempt == nil || attempt.Probe || !w.Touch.connected(attempt.Ingress, attempt.Start, arrival.ArrivedAt) || !w.Touch.connected(arrival.Worker.Machine, attempt.Start, arrival.ArrivedAt) {
			continue
		}
		total++
		if arrival.Timeout == 0 || arrival.Timeout > attempt.Timeout-arrival.ArrivedAt.Sub(attempt.Start)+timeoutSlack {
			over++
			example = arrival
		}
	}
	if over > handedTolerated && over*handedDivisor > total {
		w.recordBreach(Budget, "%d of %d arrivals had more time than was left, %s at %s %v among them", over, total, example.Attempt.ID, example.Worker.Name, example.Timeout)
	}
}
