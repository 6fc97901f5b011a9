package checker

// maxOverAttemptLimit is how many tries of clients may run on more workers than their
// path's tries, in a whole day.
const maxOverAttemptLimit = 3

// checkAttemptLimits: no try runs on more workers than its path allows.
func (w *Witness) checkAttemptLimits() {
	count := 0
	var example *Attempt
	for _, attempt := range w.attemptOrder {
		if maximum := w.maxAttempts(attempt); maximum > 0 && attempt.workersReached() > maximum {
			count++
			example = attempt
		}
	}
	if count > maxOverAttemptLimit {
		w.recordBreach(Budget, "%d tries ran on more workers than their paths allow, %s at %s on %d", count, example.ID, example.Ingress, example.workersReached())
	}
}

// workersReached counts those that a try ran on, but for those that ended or broke off.
func (t *Attempt) workersReached() int {
	workers := map[*Worker]bool{}
	for _, arrival := range t.Arrivals {
		if arrival.Executed() && !arrival.WorkerFailed {
			workers[arrival.Worker] = true
		}
	}
	return len(workers)
}

// maxAttempts is the largest number of workers for a try's path in any document that may
// have been in force; 0 when some document tells none.
func (w *Witness) maxAttempts(attempt *Attempt) (maximum int) {
	lowest := w.newestAcked(attempt.Start.Add(-w.B.Change - w.B.Stretch))
	for _, document := range w.documents {
		if route := document.Match(attempt.Host, attempt.URI); route != nil && document.Number >= lowest && document.mayBeInForce(attempt.End) {
			if route.MaxAttempts == 0 {
				return 0
			}
			maximum = max(maximum, route.MaxAttempts)
		}
	}
	return maximum
}
