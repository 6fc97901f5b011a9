package checker

import "time"

// checkConfigReads: what is read at the end of a day is what was sent under its
// number, and no older than the newest acknowledged.
func (w *Witness) checkConfigReads() {
	for _, read := range w.configReads {
		if !read.Answered {
			if read.Final {
				w.recordBreach(Config, "no document came when it was read back")
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
			w.recordBreach(Config, "number %d was read back other than it was sent", read.Number)
		}
		for _, document := range w.documents {
			if document.Number == read.Number && document.Defect != "" && !w.validDocumentExists(read.Number) {
				w.recordBreach(Config, "number %d is in force although broken: %s", read.Number, document.Defect)
			}
		}
	}
}

// validDocumentExists tells that some whole document was sent under a number.
func (w *Witness) validDocumentExists(number uint64) bool {
	for _, document := range w.documents {
		if document.Number == number && document.Defect == "" {
			return true
		}
	}
	return false
}

// checkAddedRoutes: paths that came later are served as well as the first ones.
func (w *Witness) checkAddedRoutes() {
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
		return w.Touch.connected(attempt.Ingress, attempt.Start, attempt.End) && w.allowedNow(attempt)
	}
	servedFirst, owedFirst := w.countServed(func(attempt *Attempt) bool { return first.Match(attempt.Host, attempt.URI) != nil && calm(attempt) })
	servedLater, owedLater := w.countServed(func(attempt *Attempt) bool { return first.Match(attempt.Host, attempt.URI) == nil && calm(attempt) })
	if owedLater >= 20 && owedFirst > 0 && 4*servedLater*owedFirst < servedFirst*owedLater {
		w.recordBreach(Config, "paths that came later: %d of %d served, first ones %d of %d", servedLater, owedLater, servedFirst, owedFirst)
	}
}

// Closing notes the closing fault, and Back that the machines are there again.
func (w *Witness) Closing() {
	w.mu.Lock()
	w.finalFault[0] = time.Now()
	w.mu.Unlock()
}

// Back notes that the machines are there again after the closing fault.
func (w *Witness) Back() {
	w.mu.Lock()
	w.finalFault[1] = time.Now()
	w.mu.Unlock()
}

// checkRecovery: where a quarter was served before the closing fault, a quarter is
// served of what is sent later than the bound after the return.
func (w *Witness) checkRecovery() {
	if w.finalFault[1].IsZero() {
		return
	}
	servedBefore, owedBefore := w.countServed(func(attempt *Attempt) bool { return attempt.Start.Before(w.finalFault[0]) })
	servedAfter, owedAfter := w.countServed(func(attempt *Attempt) bool { return attempt.Start.After(w.finalFault[1].Add(w.B.Return)) })
	if owedBefore > 0 && 4*servedBefore >= owedBefore && owedAfter > 0 && 4*servedAfter < owedAfter {
		w.recordBreach(Recover, "%d of %d served after the return, %d of %d before the fault", servedAfter, owedAfter, servedBefore, owedBefore)
	}
}
