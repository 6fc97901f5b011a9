package checker

import (
	"strings"
	"time"
)

// RouteSpec is one route of an operator's document.
type RouteSpec struct {
	Name, Host, Prefix string
	Retryable          bool
	Weights            map[string]int // service to weight; weight 0 gets no requests
	Timeout            time.Duration
	MaxAttempts        int // workers that one attempt of a client may reach; 0: not specified
}

// Document is a configuration document that an operator sent, and its outcome.
type Document struct {
	Number      uint64
	Raw         string
	Routes      []RouteSpec
	Defect      string    // what is wrong with the document; empty if it is valid
	FirstSentAt time.Time // when it was first sent to a node
	AckedAt     time.Time // when it was first acknowledged
	AckedBy     string    // the node that acknowledged it first
	RejectedAt  time.Time // when a node first rejected it
	EndedAt     time.Time // when its operator gave up; zero while it is being sent
}

// Match returns the route of a host and URI, the one with the longest prefix.
func (d *Document) Match(host, uri string) *RouteSpec {
	uri, _, _ = strings.Cut(uri, "?")
	var longest *RouteSpec
	for i := range d.Routes {
		route := &d.Routes[i]
		if route.Host == host && strings.HasPrefix(uri, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// AlwaysRetryable reports whether every valid document that was sent and has a route for a host and
// URI lets its requests run more than once.
func (w *Recorder) AlwaysRetryable(host, uri string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := false
	for _, document := range w.documents {
		if document.Defect != "" {
			continue
		}
		if route := document.Match(host, uri); route != nil {
			if !route.Retryable {
				return false
			}
			found = true
		}
	}
	return found
}

// mayBeInForce reports whether the document may be in force at the given time, or may have
// been before.
func (d *Document) mayBeInForce(at time.Time) bool {
	return d.Defect == "" && !d.FirstSentAt.After(at) && (d.RejectedAt.IsZero() || !d.AckedAt.IsZero())
}

// allows reports whether the document permits the service to execute the attempt. With an
// empty service it reports whether the document permits a 404, because it has no route.
func (d *Document) allows(attempt *Attempt, service string) bool {
	route := d.Match(attempt.Host, attempt.URI)
	if service == "" {
		return route == nil
	}
	return route != nil && route.Weights[service] > 0
}

// DocumentSent records a document right before it is first sent.
func (w *Recorder) DocumentSent(document *Document) {
	w.mu.Lock()
	document.FirstSentAt = time.Now()
	w.documents = append(w.documents, document)
	w.mu.Unlock()
}

// DocumentAcked records that a node acknowledged a document.
func (w *Recorder) DocumentAcked(document *Document, node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if document.Defect != "" {
		w.recordBreach(Config, "document %d was acknowledged although it is invalid: %s", document.Number, document.Defect)
	}
	if document.AckedAt.IsZero() {
		document.AckedAt, document.AckedBy = time.Now(), node
	}
}

// ConfigRead is one attempt of an operator to read the newest document back.
type ConfigRead struct {
	SentAt, ReceivedAt time.Time
	Number             uint64
	Unchanged          bool // the document equals, field for field, one that was sent under its number
	Final              bool // it was made at the end of the test run
	Answered           bool
}

// RecordConfigRead records what an operator read.
func (w *Recorder) RecordConfigRead(read ConfigRead) {
	w.mu.Lock()
	w.configReads = append(w.configReads, read)
	w.mu.Unlock()
}

// newestAcked returns the highest document number acknowledged before the given time.
func (w *Recorder) newestAcked(at time.Time) (number uint64) {
	for _, document := range w.documents {
		if document.Defect == "" && !document.AckedAt.IsZero() && document.AckedAt.Before(at) {
			number = max(number, document.Number)
		}
	}
	return number
}

// everAllowed reports whether any document that was sent allows the service to execute the
// attempt.
func (w *Recorder) everAllowed(attempt *Attempt, service string) bool {
	for _, document := range w.documents {
		if document.allows(attempt, service) {
			return true
		}
	}
	return false
}

// outcome is how one attempt was handled: executed by a service or, with an empty service,
// answered with 404 by the mesh.
type outcome struct {
	attempt *Attempt
	service string
	at      time.Time
	machine string // of the worker, or of the ingress for a 404
}

// outcomes lists every execution and every 404 of the mesh, in the order of the attempts.
func (w *Recorder) outcomes() (outcomes []outcome) {
	for _, attempt := range w.attemptOrder {
		for _, arrival := range attempt.Arrivals {
			if arrival.Executed() {
				outcomes = append(outcomes, outcome{attempt, arrival.Worker.Service, arrival.Start, arrival.Worker.Machine})
			}
		}
		if attempt.Answer.Status == 404 && attempt.answeredByMesh() {
			outcomes = append(outcomes, outcome{attempt: attempt, at: attempt.End, machine: attempt.Ingress})
		}
	}
	return outcomes
}

// allowingDocuments returns the lowest and the highest number of the documents that allow an
// outcome and may have been in force at its time.
func (w *Recorder) allowingDocuments(outcome outcome) (lowest, highest uint64, ok bool) {
	for _, document := range w.documents {
		if document.mayBeInForce(outcome.at) && document.allows(outcome.attempt, outcome.service) {
			if !ok || document.Number < lowest {
				lowest = document.Number
			}
			highest, ok = max(highest, document.Number), true
		}
	}
	return lowest, highest, ok
}

// checkStaleDocuments checks that no connected machine acts on a document older than one that
// was acknowledged longer ago than the bound, and that nobody acts on an invalid or rejected
// document (CONFIG). While the control plane is unsettled the bound is longer.
func (w *Recorder) checkStaleDocuments() {
	for _, outcome := range w.outcomes() {
		_, highest, ok := w.allowingDocuments(outcome)
		if !ok {
			// A 404 before the first document is in force follows from no document.
			if outcome.service != "" && w.everAllowed(outcome.attempt, outcome.service) {
				w.recordBreach(Config, "%s was executed by %s, which only an invalid or rejected document allows", outcome.attempt.ID, outcome.service)
				continue
			}
			if outcome.service != "" {
				continue
			}
		}
		test := func(condition func(string, time.Time, time.Time) bool) bool {
			return condition(outcome.attempt.Ingress, outcome.attempt.Start, outcome.at) && condition(outcome.machine, outcome.attempt.Start, outcome.at)
		}
		bound := w.Bounds.DocumentChange
		if !test(w.Faults.connected) {
			if !test(w.Faults.undisturbed) {
				continue
			}
			bound += w.Bounds.UnsettledExtension
		}
		if newestAcked := w.newestAcked(outcome.attempt.Start.Add(-bound)); newestAcked > highest || !ok && newestAcked > 0 {
			w.recordBreach(Config, "%s (%s%s) at %s, sent %s, was handled (%s) as number %d allows, %d was acknowledged before",
				outcome.attempt.ID, outcome.attempt.Host, outcome.attempt.URI, outcome.attempt.Ingress, clockTime(outcome.attempt.Start), outcome.service, highest, newestAcked)
		}
	}
}

// checkStepsBack checks that a machine that acted on a document does not act on an older one
// until its processes restart (CONFIG).
func (w *Recorder) checkStepsBack() {
	type incarnationKey struct {
		machine string
		number  int
	}
	byIncarnation := map[incarnationKey][]outcome{}
	for _, outcome := range w.outcomes() {
		key := incarnationKey{outcome.attempt.Ingress, outcome.attempt.Incarnation}
		byIncarnation[key] = append(byIncarnation[key], outcome)
	}
	for key, outcomes := range byIncarnation {
		// An execution proves that the machine knew the lowest document that allows it.
		type execution struct {
			at     time.Time
			lowest uint64
			id     string
		}
		var executed []execution
		for _, outcome := range outcomes {
			if lowest, _, ok := w.allowingDocuments(outcome); ok && outcome.service != "" {
				executed = append(executed, execution{outcome.at, lowest, outcome.attempt.ID})
			}
		}
		for _, outcome := range outcomes {
			_, highest, ok := w.allowingDocuments(outcome)
			if !ok {
				continue
			}
			slack := w.Bounds.StepBack
			if w.Faults.slowed(key.machine, outcome.attempt.Start.Add(-w.Bounds.Connect), outcome.at) {
				slack *= 8
			}
			for _, seen := range executed {
				if seen.lowest > highest && seen.at.Add(slack).Before(outcome.attempt.Start) {
					w.recordBreach(Config, "%s at %s, sent %s, was handled as document %d allows; %s already showed document %d at %s", outcome.attempt.ID, key.machine, clockTime(outcome.attempt.Start), highest, seen.id, seen.lowest, clockTime(seen.at))
					break
				}
			}
		}
	}
}
