package checker

import (
	"fmt"
	"time"
)

// documentScenarios breaks what is promised of documents.
func documentScenarios() []scenarioCase {
	executeOld := func(r *run) { r.exec(r.try(), r.w1) }
	return []scenarioCase{
		{"an old document after the bound", Config, func(r *run) { r.apply(2, "u"); wait(2100 * time.Millisecond); executeOld(r) }},
		{"an old document within the bound", "", func(r *run) { r.apply(2, "u"); wait(1900 * time.Millisecond); executeOld(r) }},
		{"an old document, unsettled core", "", func(r *run) { r.apply(2, "u"); wait(5 * time.Second); r.Touch.Core("kill"); executeOld(r) }},
		{"an old document, unsettled core, longer than that allows", Config, func(r *run) {
			r.apply(2, "u")
			wait(8 * time.Second)
			r.Touch.Core("kill")
			executeOld(r)
		}},
		{"an old document, no majority", "", func(r *run) { r.apply(2, "u"); defer r.Touch.Minority()(); wait(9 * time.Second); executeOld(r) }},
		{"an old document out of touch", "", func(r *run) {
			r.apply(2, "u")
			end := r.Touch.Begin("m1", "cut")
			wait(9 * time.Second)
			end()
			wait(2 * time.Second)
			executeOld(r)
		}},
		{"a new document without an answer", "", func(r *run) {
			r.offer(2, "u")
			wait(9 * time.Second)
			executeOld(r)
			r.exec(r.try(), r.w2)
			r.documents[1].EndedAt = r.documents[1].FirstSentAt
		}},
		{"404 though the path is there", Config, func(r *run) { wait(time.Second); r.fail(r.try(), 404) }},
		{"a dropped path is run", Config, func(r *run) {
			document := r.offer(2)
			document.Routes = nil
			r.DocumentAcked(document, "c1")
			wait(3 * time.Second)
			executeOld(r)
		}},
		{"a step back", Config, func(r *run) {
			r.apply(2, "u")
			r.exec(r.try(), r.w2)
			wait(300 * time.Millisecond)
			executeOld(r)
		}},
		{"a step back within the slack", "", func(r *run) { r.apply(2, "u"); r.exec(r.try(), r.w2); wait(200 * time.Millisecond); executeOld(r) }},
		{"a step back while slowed", "", func(r *run) {
			defer r.Touch.Begin("m1", Slowed)()
			r.apply(2, "u")
			r.exec(r.try(), r.w2)
			wait(time.Second)
			executeOld(r)
		}},
		{"a step back in another life", "", func(r *run) {
			r.apply(2, "u")
			r.exec(r.try(), r.w2)
			r.Lives("m1")
			wait(300 * time.Millisecond)
			executeOld(r)
		}},
		{"a broken one acknowledged", Config, func(r *run) {
			document := r.offer(2)
			document.Defect = "cut short"
			r.DocumentAcked(document, "c1")
		}},
		{"a broken one acted on", Config, func(r *run) {
			document := r.offer(2, "u")
			document.Defect, document.RejectedAt = "zero tries", time.Now()
			r.exec(r.try(), r.w2)
		}},
		{"read back old", Config, func(r *run) {
			r.apply(2, "s")
			wait(1)
			r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Unchanged: true, Answered: true})
		}},
		{"read back other", Config, func(r *run) { r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Answered: true}) }},
		{"not read back", Config, func(r *run) { r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Final: true}) }},
		{"read back old after the fault", Lost, func(r *run) {
			r.apply(2, "s")
			r.Closing()
			wait(1)
			r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Unchanged: true, Answered: true})
		}},
		{"read back as it is", "", func(r *run) {
			r.RecordConfigRead(ConfigRead{SentAt: time.Now(), Number: 1, Unchanged: true, Answered: true, Final: true})
		}},
		{"no acknowledgement", Acks, func(r *run) { r.offer(2, "s"); wait(5 * time.Second) }},
		{"no acknowledgement in trouble", "", func(r *run) {
			defer r.Touch.Begin("m2", "cut")()
			r.offer(2, "s")
			wait(9 * time.Second)
			r.documents[1].EndedAt = time.Now()
		}},
		{"no acknowledgement after trouble", Acks, func(r *run) {
			r.offer(2, "s")
			wait(time.Second)
			r.Touch.Core("kill")
			wait(9 * time.Second)
		}},
		{"added paths unserved", Config, func(r *run) {
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

// setTimeouts gives the paths of all documents a time.
func (d *run) setTimeouts(timeout time.Duration) {
	for _, document := range d.documents {
		for i := range document.Routes {
			document.Routes[i].Timeout = timeout
		}
	}
}
