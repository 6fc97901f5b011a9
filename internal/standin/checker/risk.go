package checker

import "time"

// Risk counts how often each rule had something to lose on the day: a day on
// which it had nothing shows nothing.
func (w *Witness) Risk() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	ackedAt := map[string]time.Time{} // when each document was acknowledged
	for _, arrival := range w.arrivals {
		if arrival.ExtraBytes || arrival.WorkerFailed {
			counts[Mixed]++
			if arrival.Attempt != nil && !arrival.Attempt.Retryable {
				// Whoever sends it again runs it twice; whoever calls it busy lies.
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
		// What goes to a worker that is about to leave, or leaves, would go on
		// doing so after the bound if nobody were told. How many come after its
		// word hangs on how quick the mesh is, and may be none.
		if worker := arrival.Worker; !worker.LeaveSentAt.IsZero() && arrival.ArrivedAt.After(worker.LeaveSentAt.Add(-w.B.Leave)) {
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
			if attempt.Start.After(at.Add(w.B.Change)) && attempt.Start.Before(at.Add(2*w.B.Change)) {
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
		if !w.finalFault[1].IsZero() && attempt.Start.After(w.finalFault[1].Add(w.B.Return)) {
			counts[Recover]++
		}
	}
	for _, op := range w.ops {
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
