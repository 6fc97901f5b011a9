package checker

import "time"

// checkConfigReads checks that a document that is read back equals the one that was sent under
// its number and is no older than the newest acknowledged one (CONFIG, or LOST after the
// final fault).
func (w *Recorder) checkConfigReads() {
	for _, read := range w.configReads {
		if !read.Answered {
			if read.Final {
				w.recordBreach(Config, "no document was returned when it was read back")
			}
			continue
		}
		if lowest := w.newestAcked(read.SentAt); read.Number < lowest {
			rule := Config
			if !w.finalFault[0].IsZero() && read.SentAt.After(w.finalFault[0]) {
				rule = Lost
			}
			w.recordBreach(rule, "read back as number %d at %s, %d was acknowledged before", read.Number, clockTime(read.ReceivedAt), lowest)
		}
		if !read.Unchanged {
			w.recordBreach(Config, "document %d was read back with another content than it was sent with", read.Number)
		}
		for _, document := range w.documents {
			if document.Number == read.Number && document.Defect != "" && !w.validDocumentExists(read.Number) {
				w.recordBreach(Config, "document %d is in force although it is invalid: %s", read.Number, document.Defect)
			}
		}
	}
}

// validDocumentExists reports whether a valid document was sent under the number.
func (w *Recorder) validDocumentExists(number uint64) bool {
	for _, document := range w.documents {
		if document.Number == number && document.Defect == "" {
			return true
		}
	}
	return false
}

// checkAddedRoutes checks that routes that were added later are served at least a quarter as
// well as those of the first document (CONFIG). It needs 20 such routes and requests.
func (w *Recorder) checkAddedRoutes() {
	if len(w.documents) == 0 {
		return
	}
	first := w.documents[0]
	later := map[string]bool{}
	for _, document := range w.documents {
		for _, route := range document.Routes {
			if document.Defect == "" && first.Match(route.Host, route.Prefix) == nil {
				later[route.Host+route.Prefix] = true
			}
		}
	}
	if len(later) < 20 {
		return
	}
	calm := func(attempt *Attempt) bool {
		return w.Faults.connected(attempt.Ingress, attempt.Start, attempt.End) && w.allowedNow(attempt)
	}
	servedFirst, owedFirst := w.countServed(func(attempt *Attempt) bool { return first.Match(attempt.Host, attempt.URI) != nil && calm(attempt) })
	servedLater, owedLater := w.countServed(func(attempt *Attempt) bool { return first.Match(attempt.Host, attempt.URI) == nil && calm(attempt) })
	if owedLater >= 20 && owedFirst > 0 && 4*servedLater*owedFirst < servedFirst*owedLater {
		w.recordBreach(Config, "paths that came later: %d of %d served, first ones %d of %d", servedLater, owedLater, servedFirst, owedFirst)
	}
}

// FinalFaultStarted records the beginning of the final fault of the test run.
func (w *Recorder) FinalFaultStarted() {
	w.mu.Lock()
	w.finalFault[0] = time.Now()
	w.mu.Unlock()
}

// FinalFaultEnded records that the machines are back after the final fault.
func (w *Recorder) FinalFaultEnded() {
	w.mu.Lock()
	w.finalFault[1] = time.Now()
	w.mu.Unlock()
}

// checkRecovery checks that service resumes after the final fault: if at least a quarter of the
// requests was served before it, a quarter of those sent later than the bound after the
// machines' return must be served (RECOVER).
func (w *Recorder) checkRecovery() {
	if w.finalFault[1].IsZero() {
		return
	}
	servedBefore, owedBefore := w.countServed(func(attempt *Attempt) bool { return attempt.Start.Before(w.finalFault[0]) })
	servedAfter, owedAfter := w.countServed(func(attempt *Attempt) bool { return attempt.Start.After(w.finalFault[1].Add(w.Bounds.Recovery)) })
	if owedBefore > 0 && 4*servedBefore >= owedBefore && owedAfter > 0 && 4*servedAfter < owedAfter {
		w.recordBreach(Recover, "%d of %d served after the return, %d of %d before the fault", servedAfter, owedAfter, servedBefore, owedBefore)
	}
}
