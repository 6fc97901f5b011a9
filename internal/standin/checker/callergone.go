package checker

import "time"

// callerGoneBound is how soon after a caller has left nothing may reach a worker for
// it any more, and no run that may be repeated may go on.
const callerGoneBound = 500 * time.Millisecond

// callerLeft tells that the client closed its connection while it waited.
func (t *Attempt) callerLeft() bool { return t.Answer.ClientClosed && !t.End.IsZero() }

// checkCallersGone: no worker gets a request, and none goes on with a run that may be
// repeated, so long after its caller left.
func (w *Witness) checkCallersGone() {
	for _, attempt := range w.attemptOrder {
		if !attempt.callerLeft() {
			continue
		}
		end := attempt.End.Add(callerGoneBound)
		if !w.Touch.connected(attempt.Ingress, attempt.Start, end) {
			continue
		}
		for _, arrival := range attempt.Arrivals {
			if !w.Touch.connected(arrival.Worker.Machine, attempt.Start, end) {
				continue
			}
			switch {
			case arrival.ArrivedAt.After(end):
				w.recordBreach(Gone, "%s reached %s %v after its caller had left at %s", attempt.ID, arrival.Worker.Name, arrival.ArrivedAt.Sub(attempt.End), clockTime(attempt.End))
			case attempt.Retryable && arrival.Executed() && (arrival.End.IsZero() || arrival.End.After(end)):
				w.recordBreach(Gone, "%s ran at %s until %s though its caller had left %s at %s", attempt.ID, arrival.Worker.Name, clockTime(arrival.End), attempt.Ingress, clockTime(attempt.End))
			}
		}
	}
}
