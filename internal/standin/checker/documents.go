package checker

import (
	"strings"
	"time"
)

// RouteSpec is one path of an operator's document.
type RouteSpec struct {
	Name, Host, Prefix string
	Retryable          bool
	Weights            map[string]int // weight; one of 0 gets nothing
	Timeout            time.Duration
	MaxAttempts        int // workers that one try may go to; 0: not told
}

// Document is one document that an operator sent, and what became of it.
type Document struct {
	Number      uint64
	Raw         string
	Routes      []RouteSpec
	Defect      string    // what is wrong with it, of a broken one
	FirstSentAt time.Time // when it was first sent
	AckedAt     time.Time // when it was first acknowledged
	AckedBy     string    // the machine that did
	RejectedAt  time.Time // when it was told that it is broken
	EndedAt     time.Time // when its operator gave up or moved on; zero while it is sent
}

// Match finds the path of a host and URI: the longest prefix.
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

// mayBeInForce tells whether a document may be in force at a moment, or have been.
func (d *Document) mayBeInForce(at time.Time) bool {
	return d.Defect == "" && !d.FirstSentAt.After(at) && (d.RejectedAt.IsZero() || !d.AckedAt.IsZero())
}

// allows tells whether a document lets a try end so: run at a service, or,
// with none, refused for want of a path.
func (d *Document) allows(attempt *Attempt, service string) bool {
	route := d.Match(attempt.Host, attempt.URI)
	if service == "" {
		return route == nil
	}
	return route != nil && route.Weights[service] > 0
}

// DocumentSent writes down a document right before it is first sent.
func (w *Witness) DocumentSent(document *Document) {
	w.mu.Lock()
	document.FirstSentAt = time.Now()
	w.documents = append(w.documents, document)
	w.mu.Unlock()
}

// DocumentAcked writes down the acknowledgement of a document by a machine.
func (w *Witness) DocumentAcked(document *Document, node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if document.Defect != "" {
		w.recordBreach(Config, "document %d was acknowledged although broken: %s", document.Number, document.Defect)
	}
	if document.AckedAt.IsZero() {
		document.AckedAt, document.AckedBy = time.Now(), node
	}
}

// ConfigRead is one answer to an operator who asks for the newest document.
type ConfigRead struct {
	SentAt, ReceivedAt time.Time
	Number             uint64
	Unchanged          bool // it is, field for field, one that was sent under its number
	Final              bool // it ended the day's reading back
	Answered           bool
}

// RecordConfigRead writes down what an operator read.
func (w *Witness) RecordConfigRead(read ConfigRead) {
	w.mu.Lock()
	w.configReads = append(w.configReads, read)
	w.mu.Unlock()
}

// newestAcked is the highest number acknowledged before a moment.
func (w *Witness) newestAcked(at time.Time) (number uint64) {
	for _, document := range w.documents {
		if document.Defect == "" && !document.AckedAt.IsZero() && document.AckedAt.Before(at) {
			number = max(number, document.Number)
		}
	}
	return number
}

// everAllowed tells whether any document that was sent allows a service to run a try.
func (w *Witness) everAllowed(attempt *Attempt, service string) bool {
	for _, document := range w.documents {
		if document.allows(attempt, service) {
			return true
		}
	}
	return false
}

// outcome is how one try was handled: run at a service, or refused as unknown.
type outcome struct {
	attempt *Attempt
	service string
	at      time.Time
	machine string // of the worker
}

// outcomes lists what was done with every try, in time.
func (w *Witness) outcomes() (outcomes []outcome) {
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

// allowingDocuments gives the lowest and the highest number of the documents that may be in
// force at a deed and allow it.
func (w *Witness) allowingDocuments(outcome outcome) (lowest, highest uint64, ok bool) {
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

// checkStaleDocuments: nobody in touch acts on a document older than one acknowledged
// longer ago than the bound; nothing broken or refused is acted on.
func (w *Witness) checkStaleDocuments() {
	for _, outcome := range w.outcomes() {
		_, highest, ok := w.allowingDocuments(outcome)
		if !ok {
			// A 404 before the first document is in force is no deed of one.
			if outcome.service != "" && w.everAllowed(outcome.attempt, outcome.service) {
				w.recordBreach(Config, "%s ran at %s, which only a broken or refused document allows", outcome.attempt.ID, outcome.service)
				continue
			}
			if outcome.service != "" {
				continue
			}
		}
		test := func(condition func(string, time.Time, time.Time) bool) bool {
			return condition(outcome.attempt.Ingress, outcome.attempt.Start, outcome.at) && condition(outcome.machine, outcome.attempt.Start, outcome.at)
		}
		bound := w.B.Change
		if !test(w.Touch.connected) {
			if !test(w.Touch.undisturbed) {
				continue
			}
			bound += w.B.Stretch
		}
		if newestAcked := w.newestAcked(outcome.attempt.Start.Add(-bound)); newestAcked > highest || !ok && newestAcked > 0 {
			w.recordBreach(Config, "%s (%s%s) at %s, sent %s, was handled (%s) as number %d allows, %d was acknowledged before",
				outcome.attempt.ID, outcome.attempt.Host, outcome.attempt.URI, outcome.attempt.Ingress, clockTime(outcome.attempt.Start), outcome.service, highest, newestAcked)
		}
	}
}

// checkStepsBack: within one life a machine that acted on a document acts on no
// older one.
func (w *Witness) checkStepsBack() {
	type machineLife struct {
		machine string
		n       int
	}
	byLife := map[machineLife][]outcome{}
	for _, outcome := range w.outcomes() {
		machineLife := machineLife{outcome.attempt.Ingress, outcome.attempt.Incarnation}
		byLife[machineLife] = append(byLife[machineLife], outcome)
	}
	for machineLife, outcomes := range byLife {
		// What a worker saw by when, the highest first number so far.
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
			slack := w.B.Back
			if w.Touch.slowed(machineLife.machine, outcome.attempt.Start.Add(-w.B.Touch), outcome.at) {
				slack *= 8
			}
			for _, seen := range executed {
				if seen.lowest > highest && seen.at.Add(slack).Before(outcome.attempt.Start) {
					w.recordBreach(Config, "%s at %s, sent %s, was handled as %d allows; %s showed %d at %s", outcome.attempt.ID, machineLife.machine, clockTime(outcome.attempt.Start), highest, seen.id, seen.lowest, clockTime(seen.at))
					break
				}
			}
		}
	}
}
