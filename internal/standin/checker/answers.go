package checker

import "time"

// promisesNotExecuted reports whether a status says: not executed, and never will be.
func promisesNotExecuted(code int) bool {
	return code == 408 || code == 421 || code == 429 || code == 503
}

// answeredByMesh reports whether no worker gave the answer's status and response digest.
func (a *Attempt) answeredByMesh() bool {
	for _, arrival := range a.Arrivals {
		if arrival.Status == a.Answer.Status && arrival.Digest == a.Answer.Digest {
			return false
		}
	}
	return a.Answer.Status != 0
}

func (a *Attempt) executions() (count int) {
	for _, arrival := range a.Arrivals {
		if arrival.Executed() {
			count++
		}
	}
	return count
}

// checkAnswers compares every answer with what the workers sent (MIXED), and checks that
// no request that was reported as not executed was executed (REFUSED).
func (w *Recorder) checkAnswers() {
	byDigest := map[string]*Arrival{}
	for _, arrival := range w.arrivals {
		if arrival.Digest != "" {
			byDigest[arrival.Digest] = arrival
		}
	}
	for _, attempt := range w.attemptOrder {
		answer := attempt.Answer
		if answer.Status == 0 && !answer.Malformed {
			continue
		}
		workerFailed := false
		for _, arrival := range attempt.Arrivals {
			workerFailed = workerFailed || arrival.WorkerFailed
		}
		if answer.Malformed && !workerFailed {
			w.recordBreach(Mixed, "%s at %s: no answer in the protocol: %s", attempt.ID, attempt.Ingress, answer.Reason)
		}
		if answer.ID != "" && answer.ID != attempt.ID {
			w.recordBreach(Mixed, "%s at %s got the answer of %s", attempt.ID, attempt.Ingress, answer.ID)
		}
		arrival := byDigest[answer.Digest]
		if arrival != nil && arrival.Attempt != attempt {
			w.recordBreach(Mixed, "%s at %s got the response digest of another attempt", attempt.ID, attempt.Ingress)
		}
		if answer.Status/100 == 2 && answer.Complete {
			switch {
			case arrival == nil:
				w.recordBreach(Mixed, "%s at %s: a success without a worker's response digest", attempt.ID, attempt.Ingress)
			case arrival.Status != answer.Status:
				w.recordBreach(Mixed, "%s at %s: a success, but the worker answered %d", attempt.ID, attempt.Ingress, arrival.Status)
			case arrival.AnswerBody != answer.Body:
				w.recordBreach(Mixed, "%s at %s: the answer has %d bytes, the worker's body has %d", attempt.ID, attempt.Ingress, answer.Body.Size, arrival.AnswerBody.Size)
			}
		}
		if answer.Status/100 != 2 && arrival != nil && arrival.Attempt == attempt && arrival.Status != answer.Status {
			w.recordBreach(Mixed, "%s at %s: %d with a worker's response digest, the worker answered %d", attempt.ID, attempt.Ingress, answer.Status, arrival.Status)
		}
		// A request that may be retried may have been executed elsewhere.
		if promisesNotExecuted(answer.Status) && !attempt.Retryable && attempt.executions() > 0 {
			w.recordBreach(Refused, "%s at %s got %d and ran at %s", attempt.ID, attempt.Ingress, answer.Status, attempt.firstExecution().Worker.Name)
		}
	}
}

func (a *Attempt) firstExecution() *Arrival {
	for _, arrival := range a.Arrivals {
		if arrival.Executed() {
			return arrival
		}
	}
	return nil
}

// checkExecutions compares every execution with what the client sent (UNASKED), and checks
// the number of executions (TWICE) and the service that executed it (ROUTE).
func (w *Recorder) checkExecutions() {
	for _, arrival := range w.arrivals {
		if !arrival.Executed() {
			continue
		}
		attempt := arrival.Attempt
		if attempt == nil {
			w.recordBreach(Unasked, "%s ran %s %s at %s, sent by nobody", arrival.Worker.Name, arrival.Method, arrival.URI, clockTime(arrival.ArrivedAt))
			continue
		}
		if arrival.Method != attempt.Method || arrival.URI != attempt.URI || arrival.Body != attempt.Body {
			w.recordBreach(Unasked, "%s was sent as %s %s with %d bytes, ran as %s %s with %d", attempt.ID, attempt.Method, attempt.URI, attempt.Body.Size, arrival.Method, arrival.URI, arrival.Body.Size)
		}
		if want := w.serviceOf[attempt.Ingress]; arrival.CallerService != want {
			w.recordBreach(Unasked, "%s was sent at a node of service %s, but the worker was told caller service %q", attempt.ID, want, arrival.CallerService)
		}
		if !w.everAllowed(attempt, arrival.Worker.Service) {
			w.recordBreach(Route, "%s (%s%s) was executed by service %s, which no document allows", attempt.ID, attempt.Host, attempt.URI, arrival.Worker.Service)
		}
		if !attempt.Retryable && attempt.executions() > 1 {
			w.recordBreach(Twice, "%s was executed %d times", attempt.ID, attempt.executions())
		}
	}
}

// maxDeniedDisconnected is how many valid requests disconnected machines may reject during a
// whole test run because they know no route or permission for them.
const maxDeniedDisconnected = 10

// checkDenied counts valid requests that the mesh itself answered with 3xx or 4xx (DENIED).
// On disconnected machines only 401, 403 and 404 count, and only for requests that every
// document of the test run allows.
func (w *Recorder) checkDenied() {
	count, disconnected := 0, 0
	var denied []*Attempt
	for _, attempt := range w.attemptOrder {
		status := attempt.Answer.Status
		if status/100 != 3 && status/100 != 4 || promisesNotExecuted(status) || !attempt.answeredByMesh() {
			continue
		}
		switch {
		case w.Faults.connected(attempt.Ingress, attempt.Start, attempt.End):
			if !w.allowedNow(attempt) {
				continue
			}
		case status != 401 && status != 403 && status != 404 || !w.allowedByAll(attempt):
			continue
		default:
			disconnected++
		}
		count++
		denied = append(denied, attempt)
	}
	if float64(count) > 5+float64(len(w.attemptOrder))/500 || disconnected > maxDeniedDisconnected {
		for _, attempt := range denied {
			w.recordBreach(Denied, "%s (%s%s) at %s got %d at %s: %s", attempt.ID, attempt.Host, attempt.URI, attempt.Ingress, attempt.Answer.Status, clockTime(attempt.End), attempt.Answer.Reason)
		}
	}
}

// allowedByAll reports whether every document of the test run has a route for the attempt.
func (w *Recorder) allowedByAll(attempt *Attempt) bool {
	total := 0
	for _, document := range w.documents {
		if document.Defect == "" && document.Match(attempt.Host, attempt.URI) == nil {
			return false
		}
		total++
	}
	return total > 0
}

// allowedNow reports whether all documents that may be in force have a route for the attempt.
func (w *Recorder) allowedNow(attempt *Attempt) bool {
	lowest := w.newestAcked(attempt.Start.Add(-w.Bounds.DocumentChange))
	inForce := 0
	for _, document := range w.documents {
		if document.mayBeInForce(attempt.End) && document.Number >= lowest {
			inForce++
			if document.Match(attempt.Host, attempt.URI) == nil {
				return false
			}
		}
	}
	return inForce > 0
}

// Breaches runs all checks. It returns the number of breaches of each rule and a note for
// each of the first eight breaches of a rule.
func (w *Recorder) Breaches() (map[string]int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, check := range []func(){w.checkAnswers, w.checkExecutions, w.checkDenied, w.checkDrains, w.checkReadiness, w.checkCallersGone, w.checkPlannedWork, w.checkReusedConns, w.checkLateAnswers, w.checkHandedTimeouts, w.checkStaleDocuments, w.checkStepsBack, w.checkConfigReads, w.checkAddedRoutes, w.checkSplits,
		w.checkRetryBudget, w.checkAttemptLimits, w.checkRecovery, w.checkLocks, w.checkNumbers, w.checkKeys, w.checkWatches, w.checkAcks} {
		check()
	}
	return w.breaches, w.notes
}

// Outcomes counts the attempts by their outcome, for the report.
func (w *Recorder) Outcomes() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{"tries": len(w.attemptOrder)}
	for _, attempt := range w.attemptOrder {
		switch {
		case attempt.Answer.Status == 0 && attempt.Answer.ClientClosed:
			counts["given up"]++
		case attempt.Answer.Status == 0:
			counts["no answer"]++
		default:
			counts[statusText(attempt.Answer.Status)]++
		}
	}
	for _, arrival := range w.arrivals {
		if arrival.Executed() {
			counts["runs"]++
		} else {
			counts["declined"]++
		}
	}
	return counts
}

func statusText(status int) string {
	return string([]byte{byte('0' + status/100), byte('0' + status/10%10), byte('0' + status%10)})
}

// Served counts the client requests that began in [from, to): those that had to be served
// and those that were. An empty kind stands for all kinds. A request whose client left
// early need not be served and counts only if it was.
func (w *Recorder) Served(kind string, from, to time.Time) (served, owed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.countServed(func(attempt *Attempt) bool {
		return (kind == "" || attempt.Kind == kind) && !attempt.Start.Before(from) && attempt.Start.Before(to)
	})
}

func (w *Recorder) countServed(match func(*Attempt) bool) (served, owed int) {
	done := map[string]bool{}
	for _, attempt := range w.attemptOrder {
		if attempt.Probe || attempt.Parent != nil || !match(attempt) {
			continue
		}
		good := attempt.Answer.Status/100 == 2 && attempt.Answer.Complete
		if !attempt.LeavesEarly || good {
			done[attempt.Request] = done[attempt.Request] || good
		}
	}
	for _, good := range done {
		if good {
			served++
		}
	}
	return served, len(done)
}
