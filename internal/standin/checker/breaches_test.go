package checker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// run is a recorder of a test run whose events are made by hand. There are two machines with
// a worker each: w1 of service s on m1, w2 of service u on m2. The first document sends all
// requests for h.example/a/ to service s.
type run struct {
	*Recorder
	w1, w2   *Worker
	sequence int
}

func wait(duration time.Duration) { <-time.After(duration) }

func routesTo(services ...string) []RouteSpec {
	route := RouteSpec{Name: "p", Host: "h.example", Prefix: "/a/", Weights: map[string]int{}, Timeout: time.Second}
	for _, s := range services {
		route.Weights[s] = 1
	}
	return []RouteSpec{route}
}

func newRun() *run {
	created := &run{Recorder: New(UsualBounds), w1: &Worker{Name: "k", Service: "s", Machine: "m1"}, w2: &Worker{Name: "l", Service: "u", Machine: "m2"}}
	created.WorkerStarted(created.w1)
	created.WorkerStarted(created.w2)
	created.apply(1, "s")
	wait(5 * time.Second)
	return created
}

// apply sends a document and records its acknowledgement.
func (r *run) apply(number uint64, services ...string) *Document {
	document := r.offer(number, services...)
	wait(time.Millisecond)
	r.DocumentAcked(document, "c1")
	return document
}

func (r *run) offer(number uint64, services ...string) *Document {
	document := &Document{Number: number, Routes: routesTo(services...)}
	r.DocumentSent(document)
	return document
}

// try sends an attempt to machine m1.
func (r *run) try() *Attempt {
	r.sequence++
	id := fmt.Sprint("t", r.sequence)
	attempt := &Attempt{ID: id, Request: id, Kind: "a", Ingress: "m1", Host: "h.example", Method: "GET", URI: "/a/x?q=1", Body: Body{3, 4}, Timeout: time.Second, Start: time.Now()}
	r.AttemptStarted(attempt)
	r.AttemptSent(attempt)
	return attempt
}

// exec has a worker execute an attempt in 10 ms.
func (r *run) exec(attempt *Attempt, worker *Worker) *Arrival {
	arrival := &Arrival{Worker: worker, Method: attempt.Method, URI: attempt.URI, Body: attempt.Body, CallerService: r.serviceOf[attempt.Ingress], Timeout: attempt.Timeout - time.Since(attempt.Start)}
	r.RecordArrival(arrival, attempt.ID)
	arrival.Start = time.Now()
	wait(10 * time.Millisecond)
	r.sequence++
	arrival.Status, arrival.Digest, arrival.AnswerBody, arrival.End = 200, fmt.Sprint("stamp", r.sequence), Body{10, uint64(r.sequence)}, time.Now()
	return arrival
}

// reply delivers a worker's answer to the client.
func (r *run) reply(attempt *Attempt, arrival *Arrival) {
	wait(time.Millisecond)
	r.AttemptEnded(attempt, Answer{Status: arrival.Status, ID: attempt.ID, Digest: arrival.Digest, Body: arrival.AnswerBody, Complete: true, RequestRead: true})
}

// serve sends an attempt that w1 executes and answers.
func (r *run) serve() (*Attempt, *Arrival) {
	attempt := r.try()
	arrival := r.exec(attempt, r.w1)
	r.reply(attempt, arrival)
	return attempt, arrival
}

// fail has the mesh itself answer an attempt.
func (r *run) fail(attempt *Attempt, code int) {
	wait(time.Millisecond)
	r.AttemptEnded(attempt, Answer{Status: code, Complete: true, RequestRead: true})
}

// cut ends an attempt's connection without an answer.
func (r *run) cut(attempt *Attempt) { r.AttemptEnded(attempt, Answer{RequestRead: true}) }

type scenarioCase struct {
	name, rule string // rule is empty if no breach may be recorded
	act        func(*run)
}

func runScenarios(t *testing.T, cases []scenarioCase) {
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRun()
				r.serve()
				testCase.act(r)
				wait(time.Second)
				breaches, notes := r.Breaches()
				for rule, n := range breaches {
					if rule != testCase.rule {
						t.Errorf("unexpected breaches: %d of %s: %v", n, rule, notes)
					}
				}
				if testCase.rule != "" && breaches[testCase.rule] == 0 {
					t.Errorf("breach of %s was not detected: %v", testCase.rule, notes)
				}
			})
		})
	}
}

// TestBreaches checks that the breaches of each rule are detected, and that allowed behavior
// close to them is not counted as a breach. Every rule must have a scenario that breaks it.
func TestBreaches(t *testing.T) {
	caught := map[string]bool{}
	for _, cases := range [][]scenarioCase{answerScenarios(), documentScenarios(), leavingScenarios(), ownerEndingScenarios(), readinessScenarios(), attemptAndDenialScenarios(), splitScenarios(), reusedConnScenarios(), lateAnswerScenarios(), callerGoneScenarios(), coordinationScenarios(), budgetScenarios()} {
		runScenarios(t, cases)
		for _, testCase := range cases {
			caught[testCase.rule] = true
		}
	}
	for _, rule := range Rules {
		if !caught[rule] {
			t.Errorf("no scenario breaks %s", rule)
		}
	}
}

// answerScenarios breaks the guarantees for answers and executions;
// the cases without a rule stay just within them.
func answerScenarios() []scenarioCase {
	return []scenarioCase{
		{"no fault", "", func(r *run) { r.serve() }},
		{"a success without a response digest", Mixed, func(r *run) { t, v := r.try(), (*Arrival)(nil); v = r.exec(t, r.w1); v.Digest = ""; r.reply(t, v) }},
		{"half a body in an answer that looks complete", Mixed, func(r *run) {
			t := r.try()
			v := *r.exec(t, r.w1)
			v.AnswerBody.Size = 5
			r.reply(t, &v)
		}},
		{"half a body in an answer that is visibly cut off", "", func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.WorkerFailed = true
			r.AttemptEnded(t, Answer{Status: 200, ID: t.ID, Digest: v.Digest, Body: Body{5, 5}, RequestRead: true})
		}},
		{"the answer to another attempt", Mixed, func(r *run) {
			_, v := r.serve()
			t := r.try()
			r.exec(t, r.w1)
			r.AttemptEnded(t, Answer{Status: 500, ID: v.Attempt.ID, Complete: true})
		}},
		{"the response digest of another attempt", Mixed, func(r *run) {
			_, v := r.serve()
			t := r.try()
			r.exec(t, r.w1)
			r.reply(t, v)
		}},
		{"a success although the worker failed", Mixed, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			unchanged := *v
			v.Status = 500
			r.reply(t, &unchanged)
		}},
		{"no answer in the protocol", Mixed, func(r *run) { r.AttemptEnded(r.try(), Answer{Malformed: true}) }},
		{"a malformed answer that the worker sent", "", func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.WorkerFailed, v.Status, v.Digest = true, 0, ""
			r.AttemptEnded(t, Answer{Malformed: true})
		}},
		{"bytes without a pending request", Mixed, func(r *run) { r.UnexpectedBytes("m1", "HTTP/1.1 200 OK") }},
		{"a request that no client sent", Unasked, func(r *run) {
			v := &Arrival{Worker: r.w1, Method: "GET", URI: "/a/x", CallerService: "s"}
			r.RecordArrival(v, "unknown")
			v.Start = time.Now()
		}},
		{"a request with an altered URI", Unasked, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.URI = "/a/x"
			r.reply(t, v)
		}},
		{"a request with an altered body", Unasked, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.Body = Body{3, 5}
			r.reply(t, v)
		}},
		{"a forged caller service", Unasked, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.CallerService = "u"
			r.reply(t, v)
		}},
		{"twice", Twice, func(r *run) { t := r.try(); r.exec(t, r.w1); r.reply(t, r.exec(t, r.w1)) }},
		{"executed twice, but retryable", "", func(r *run) { t := r.try(); t.Retryable = true; r.exec(t, r.w1); r.reply(t, r.exec(t, r.w1)) }},
		{"declined, then executed", "", func(r *run) {
			t := r.try()
			v := &Arrival{Worker: r.w1, DeclinedStatus: 503, Status: 503}
			r.RecordArrival(v, t.ID)
			r.reply(t, r.exec(t, r.w1))
		}},
		{"reported as not executed after its execution", Refused, func(r *run) { t := r.try(); r.exec(t, r.w1); r.fail(t, 503) }},
		{"reported as not executed before its execution", Refused, func(r *run) { t := r.try(); r.fail(t, 429); wait(time.Second); r.exec(t, r.w1) }},
		{"reported as not executed and never executed", "", func(r *run) { r.fail(r.try(), 503) }},
		{"denied", Denied, func(r *run) {
			for range 7 {
				r.fail(r.try(), 400)
			}
		}},
		{"few valid requests denied", "", func(r *run) {
			for range 5 {
				r.fail(r.try(), 400)
			}
		}},
		{"requests denied on a disconnected machine", "", func(r *run) {
			end := r.Faults.Begin("m1", "cut")
			for range 9 {
				r.fail(r.try(), 400)
			}
			end()
		}},
		{"executed by a service that was never allowed", Route, func(r *run) { t := r.try(); r.reply(t, r.exec(t, r.w2)) }},
	}
}
