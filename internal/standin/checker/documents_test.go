package checker

import (
	"fmt"
	"time"
)

// documentScenarios breaks the guarantees for documents;
// the cases without a rule stay just within them.
func documentScenarios() []scenarioCase {
	execOld := func(r *run) { r.exec(r.try(), r.w1) }
	return []scenarioCase{
		{"an outdated document after the bound", Config, func(r *run) { r.apply(2, "u"); wait(2100 * time.Millisecond); execOld(r) }},
		{"an outdated document within the bound", "", func(r *run) { r.apply(2, "u"); wait(1900 * time.Millisecond); execOld(r) }},
		{"an outdated document while the control plane is unsettled", "", func(r *run) { r.apply(2, "u"); wait(5 * time.Second); r.Faults.Unsettle("kill"); execOld(r) }},
		{"an outdated document after the extended bound", Config, func(r *run) {
			r.apply(2, "u")
			wait(8 * time.Second)
			r.Faults.Unsettle("kill")
			execOld(r)
		}},
		{"an outdated document without a majority", "", func(r *run) { r.apply(2, "u"); defer r.Faults.NoMajority()(); wait(9 * time.Second); execOld(r) }},
		{"an outdated document on a disconnected machine", "", func(r *run) {
			r.apply(2, "u")
			end := r.Faults.Begin("m1", "cut")
			wait(9 * time.Second)
			end()
			wait(2 * time.Second)
			execOld(r)
		}},
		{"either document while the newer one is unacknowledged", "", func(r *run) {
			r.offer(2, "u")
			wait(9 * time.Second)
			execOld(r)
			r.exec(r.try(), r.w2)
			r.documents[1].EndedAt = r.documents[1].FirstSentAt
		}},
		{"404 although the route exists", Config, func(r *run) { wait(time.Second); r.fail(r.try(), 404) }},
		{"executed by a route that was removed", Config, func(r *run) {
			document := r.offer(2)
			document.Routes = nil
			r.DocumentAcked(document, "c1")
			wait(3 * time.Second)
			execOld(r)
		}},
		{"a step back to an older document", Config, func(r *run) {
			r.apply(2, "u")
			r.exec(r.try(), r.w2)
			wait(300 * time.Millisecond)
			execOld(r)
		}},
		{"a step back within the slack", "", func(r *run) { r.apply(2, "u"); r.exec(r.try(), r.w2); wait(200 * time.Millisecond); execOld(r) }},
		{"a step back on a slowed machine", "", func(r *run) {
			defer r.Faults.Begin("m1", Slowed)()
			r.apply(2, "u")
			r.exec(r.try(), r.w2)
			wait(time.Second)
			execOld(r)
		}},
		{"a step back after a restart", "", func(r *run) {
			r.apply(2, "u")
			r.exec(r.try(), r.w2)
			r.Restarted("m1")
			wait(300 * time.Millisecond)
			execOld(r)
		}},
		{"an invalid document is acknowledged", Config, func(r *run) {
			document := r.offer(2)
			document.Defect = "cut short"
			r.DocumentAcked(document, "c1")
		}},
		{"an invalid document is acted on", Config, func(r *run) {
			document := r.offer(2, "u")
			document.Defect, document.RejectedAt = "zero tries", time.Now()
			r.exec(r.try(), r.w2)
		}},
		{"an outdated document is read back", Config, func(r *run) {
			r.apply(2, "s")
			wait(1)
			r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Unchanged: true, Answered: true})
		}},
		{"a changed document is read back", Config, func(r *run) { r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Answered: true}) }},
		{"no document is read back", Config, func(r *run) { r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Final: true}) }},
		{"an outdated document is read back after the final fault", Lost, func(r *run) {
			r.apply(2, "s")
			r.FinalFaultStarted()
			wait(1)
			r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Unchanged: true, Answered: true})
		}},
		{"the same document is read back", "", func(r *run) {
			r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Unchanged: true, Answered: true, Final: true})
		}},
		{"a document is not acknowledged", Acks, func(r *run) { r.offer(2, "s"); wait(5 * time.Second) }},
		{"a document is not acknowledged during a disturbance", "", func(r *run) {
			defer r.Faults.Begin("m2", "cut")()
			r.offer(2, "s")
			wait(9 * time.Second)
			r.documents[1].EndedAt = time.Now()
		}},
		{"a document is not acknowledged after a disturbance", Acks, func(r *run) {
			r.offer(2, "s")
			wait(time.Second)
			r.Faults.Unsettle("kill")
			wait(9 * time.Second)
		}},
		{"routes that were added later are not served", Config, func(r *run) {
			document := &Document{Number: 2, Routes: routesTo("s")}
			for i := range 25 {
				document.Routes = append(document.Routes, RouteSpec{Host: "h.example", Prefix: fmt.Sprintf("/b%d/", i), Weights: map[string]int{"s": 1}})
			}
			r.DocumentSent(document)
			r.DocumentAcked(document, "c1")
			wait(3 * time.Second)
			for i := range 25 {
				attempt := r.try()
				attempt.URI = fmt.Sprintf("/b%d/x", i)
				r.fail(attempt, 503)
				r.serve()
			}
		}},
	}
}

// setTimeouts sets the timeout of the routes of all documents.
func (r *run) setTimeouts(timeout time.Duration) {
	for _, document := range r.documents {
		for i := range document.Routes {
			document.Routes[i].Timeout = timeout
		}
	}
}
