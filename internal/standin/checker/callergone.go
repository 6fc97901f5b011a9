package checker

import "time"

// callerGoneBound is the time after a caller closed its connection from which its request may
// no longer reach a worker, and a retryable request may no longer be executing.
const callerGoneBound = 500 * time.Millisecond

// callerLeft reports whether the client closed its connection while it waited.
func (a *Attempt) callerLeft() bool { return a.Answer.ClientClosed && !a.End.IsZero() }

// checkCallersGone checks that later than callerGoneBound after a caller left, its request
// reaches no worker, and no worker goes on executing it if it may be retried (GONE).
func (w *Recorder) checkCallersGone() {
	for _, attempt := range w.attemptOrder {
		if !attempt.callerLeft() {
			continue
		}
		end := attempt.End.Add(callerGoneBound)
		if !w.Faults.connected(attempt.Ingress, attempt.Start, end) {
			continue
		}
		for _, arrival := range attempt.Arrivals {
			if !w.Faults.connected(arrival.Worker.Machine, attempt.Start, end) {
				continue
			}
			switch {
			case arrival.ArrivedAt.After(end):
				w.recordBreach(Gone, "%s reached %s %v after its caller had left at %s", attempt.ID, arrival.Worker.Name, arrival.ArrivedAt.Sub(attempt.End), clockTime(attempt.End))
			case attempt.Retryable && arrival.Executed() && (arrival.End.IsZero() || arrival.End.After(end)):
				w.recordBreach(Gone, "%s was executed at %s until %s although its caller had left %s at %s", attempt.ID, arrival.Worker.Name, clockTime(arrival.End), attempt.Ingress, clockTime(attempt.End))
			}
		}
	}
}
