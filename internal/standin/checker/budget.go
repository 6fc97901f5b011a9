package checker

import (
	"sort"
	"time"
)

// checkRetryBudget checks the retries to every service over a sliding window (BUDGET). A
// nested request counts as a retry at its own service if the execution that made it was a
// retry.
func (w *Recorder) checkRetryBudget() {
	retries, requests := map[string][]time.Time{}, map[string][]time.Time{}
	for _, arrival := range w.arrivals {
		if arrival.Retry {
			retries[arrival.Worker.Service] = append(retries[arrival.Worker.Service], arrival.ArrivedAt)
		}
	}
	for _, attempt := range w.attemptOrder {
		if attempt.Parent != nil && attempt.Parent.Retry {
			continue
		}
		// With a weighted split the request counts for the service that it reached first.
		if len(attempt.Arrivals) > 0 {
			service := attempt.Arrivals[0].Worker.Service
			requests[service] = append(requests[service], attempt.Start)
		} else if service := w.expectedService(attempt); service != "" {
			requests[service] = append(requests[service], attempt.Start)
		}
	}
	for service, times := range retries {
		w.slideWindow(service, sortTimes(times), sortTimes(requests[service]))
	}
}

// expectedService returns the service that an attempt without arrivals most likely would
// have gone to: the one with the highest weight in the newest document that may be in force.
func (w *Recorder) expectedService(attempt *Attempt) (name string) {
	var newest *Document
	for _, document := range w.documents {
		if document.mayBeInForce(attempt.Start) && (newest == nil || document.Number > newest.Number) {
			newest = document
		}
	}
	if newest == nil {
		return ""
	}
	if route := newest.Match(attempt.Host, attempt.URI); route != nil {
		for s, n := range route.Weights {
			if n > route.Weights[name] || n == route.Weights[name] && s < name {
				name = s
			}
		}
	}
	return name
}

func sortTimes(times []time.Time) []time.Time {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	return times
}

// countBetween counts the times in (from, to]. The times must be sorted.
func countBetween(times []time.Time, from, to time.Time) int {
	before := func(at time.Time) int { return sort.Search(len(times), func(i int) bool { return times[i].After(at) }) }
	return max(before(to)-before(from), 0)
}

// slideWindow checks every window of one service. The allowance is derived from the largest
// number of requests in the window itself, half a window earlier or a whole window earlier.
func (w *Recorder) slideWindow(service string, retries, requests []time.Time) {
	check := func(from time.Time) {
		to, half := from.Add(w.Bounds.RetryWindow), w.Bounds.RetryWindow/2
		retriesInWindow := countBetween(retries, from, to)
		mostRequests := 0
		for _, offset := range []time.Duration{0, half, 2 * half} {
			mostRequests = max(mostRequests, countBetween(requests, from.Add(-offset), to.Add(-offset)))
		}
		allowed := w.Bounds.RetryShare*float64(mostRequests) + w.Bounds.RetryAllowance
		if part := float64(retriesInWindow) / allowed; part > w.fullestWindow {
			w.fullestWindow, w.fullestService = part, service
		}
		if float64(retriesInWindow) > allowed {
			w.recordBreach(Budget, "%s: %d repeats to %d requests in the window from %s", service, retriesInWindow, mostRequests, clockTime(from))
		}
	}
	for _, t := range retries {
		// Check each window that ends with a retry and each that begins with one.
		check(t.Add(-w.Bounds.RetryWindow))
		check(t.Add(-1))
	}
}

// FullestRetryWindow returns the highest ratio of retries to allowed retries over all windows, and its
// service. It is known only after all checks have run.
func (w *Recorder) FullestRetryWindow() (part float64, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fullestWindow, w.fullestService
}

// checkAcks checks that without unplanned disturbances every valid document and nearly every
// worker's leave notice is acknowledged within the bound (ACKS).
func (w *Recorder) checkAcks() {
	now := time.Now()
	for _, document := range w.documents {
		end := document.AckedAt
		if end.IsZero() {
			end = document.EndedAt
		}
		if end.IsZero() {
			end = now
		}
		bound := w.Bounds.Ack + time.Duration(len(document.Routes))*3*time.Millisecond
		// The bound must fit into one calm period, which may begin after a disturbance.
		for _, from := range w.Faults.calmStarts(document.FirstSentAt, end) {
			if to := from.Add(bound); document.Defect == "" && end.After(to) && w.Faults.controlPlaneSettled(from, to) && w.Faults.calm(from, to) {
				w.recordBreach(Acks, "document %d, sent %s, had no acknowledgement until %s, calm from %s", document.Number, clockTime(document.FirstSentAt), clockTime(end), clockTime(from))
				break
			}
		}
	}
	overdue, leaving := 0, 0
	for _, worker := range w.workers {
		if worker.LeaveSentAt.IsZero() {
			continue
		}
		leaving++
		if (worker.LeaveAckedAt.IsZero() && now.Sub(worker.LeaveSentAt) > w.Bounds.Ack || worker.LeaveAckedAt.Sub(worker.LeaveSentAt) > w.Bounds.Ack) && w.Faults.calm(worker.LeaveSentAt, worker.LeaveSentAt.Add(w.Bounds.Ack)) {
			overdue++
		}
	}
	if overdue >= 3 && 5*overdue > leaving {
		w.recordBreach(Acks, "%d of %d leaving workers had no acknowledgement in time", overdue, leaving)
	}
}
