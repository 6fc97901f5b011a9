package checker

import "time"

// Exposure counts how often each rule could have been broken during the test run. A run in which a
// rule could not be broken proves nothing about it.
func (w *Recorder) Exposure() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	ackedAt := map[string]time.Time{} // document content to the time of its acknowledgement
	for _, arrival := range w.arrivals {
		if arrival.ExtraBytes || arrival.WorkerFailed {
			counts[Mixed]++
			if arrival.Attempt != nil && !arrival.Attempt.Retryable {
				// A retry would execute it twice, and a 503 would deny the execution.
				counts[Twice]++
				counts[Refused]++
			}
		}
		if arrival.Retry {
			counts[Budget]++
		}
		if arrival.Executed() && arrival.ExpectedWorker != "" {
			counts[Unasked]++
		}
		// Requests that reach a worker shortly before or after its leave notice would
		// go on reaching it after the bound if the mesh ignored the notice. Those before
		// the notice count too: how many come after it depends on the speed of the mesh,
		// and there may be none.
		if worker := arrival.Worker; !worker.LeaveSentAt.IsZero() && arrival.ArrivedAt.After(worker.LeaveSentAt.Add(-w.Bounds.Leave)) {
			counts[Drain]++
		}
	}
	for _, document := range w.documents {
		if document.Defect != "" || !document.RejectedAt.IsZero() {
			counts[Route]++
		}
		if !document.AckedAt.IsZero() && document.Defect == "" {
			counts[Acks]++
			ackedAt[document.Raw] = document.AckedAt
		}
	}
	for _, attempt := range w.attemptOrder {
		for _, at := range ackedAt {
			if attempt.Start.After(at.Add(w.Bounds.DocumentChange)) && attempt.Start.Before(at.Add(2*w.Bounds.DocumentChange)) {
				counts[Config]++
				break
			}
		}
		if len(w.signalsDuring(attempt)) > 0 {
			counts[Lost]++
		}
		if attempt.callerLeft() && attempt.Retryable && attempt.executionInProgress() != nil {
			counts[Gone]++
		}
		if attempt.Answer.Status == 404 {
			counts[Denied]++
		}
		if !w.finalFault[1].IsZero() && attempt.Start.After(w.finalFault[1].Add(w.Bounds.Recovery)) {
			counts[Recover]++
		}
	}
	for _, op := range w.calls {
		switch {
		case op.Kind == Acquire && op.Status == 409:
			counts[One]++
		case op.Kind == Get && op.Status == 200:
			counts[Stale]++
		case op.Status == 200:
			counts[Order]++
		}
	}
	return counts
}

// AttemptsOf returns the attempts of one kind of request, in the order in which they began.
func (w *Recorder) AttemptsOf(kind string) (attempts []*Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, attempt := range w.attemptOrder {
		if attempt.Kind == kind {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}
