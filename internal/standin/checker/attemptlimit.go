package checker

// maxOverAttemptLimit is how many client attempts may be executed by more workers than their
// route allows, during a whole test run.
const maxOverAttemptLimit = 3

// checkAttemptLimits checks that no attempt is executed by more workers than its route allows
// (BUDGET).
func (w *Recorder) checkAttemptLimits() {
	count := 0
	var example *Attempt
	for _, attempt := range w.attemptOrder {
		if maximum := w.attemptLimit(attempt); maximum > 0 && attempt.workersReached() > maximum {
			count++
			example = attempt
		}
	}
	if count > maxOverAttemptLimit {
		w.recordBreach(Budget, "%d attempts were executed by more workers than their routes allow, %s at %s by %d among them", count, example.ID, example.Ingress, example.workersReached())
	}
}

// workersReached counts the workers that executed the attempt and did not fail.
func (a *Attempt) workersReached() int {
	workers := map[*Worker]bool{}
	for _, arrival := range a.Arrivals {
		if arrival.Executed() && !arrival.WorkerFailed {
			workers[arrival.Worker] = true
		}
	}
	return len(workers)
}

// attemptLimit returns the largest number of workers that any document that may have been in
// force allows for the attempt's route, or 0 if one of them sets no limit.
func (w *Recorder) attemptLimit(attempt *Attempt) (maximum int) {
	lowest := w.newestAcked(attempt.Start.Add(-w.Bounds.DocumentChange - w.Bounds.UnsettledExtension))
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
