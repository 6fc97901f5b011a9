package checker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// run is a history made by hand: two machines with a worker each, and a
// document that sends all of h.example/a/ to one service, later to another.
type run struct {
	*Witness
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
	r := &run{Witness: New(Usual), w1: &Worker{Name: "k", Service: "s", Machine: "m1"}, w2: &Worker{Name: "l", Service: "u", Machine: "m2"}}
	r.WorkerStarted(r.w1)
	r.WorkerStarted(r.w2)
	r.apply(1, "s")
	wait(5 * time.Second)
	return r
}

// apply sends a document and has it acknowledged.
func (d *run) apply(number uint64, services ...string) *Document {
	document := d.offer(number, services...)
	wait(time.Millisecond)
	d.DocumentAcked(document, "c1")
	return document
}

func (d *run) offer(number uint64, services ...string) *Document {
	document := &Document{Number: number, Routes: routesTo(services...)}
	d.DocumentSent(document)
	return document
}

// try sends a try to the first machine.
func (d *run) try() *Attempt {
	d.sequence++
	id := fmt.Sprint("t", d.sequence)
	attempt := &Attempt{ID: id, Request: id, Kind: "a", Ingress: "m1", Host: "h.example", Method: "GET", URI: "/a/x?q=1", Body: Body{3, 4}, Timeout: time.Second, Start: time.Now()}
	d.AttemptStarted(attempt)
	d.AttemptSent(attempt)
	return attempt
}

// exec has a worker take a try up and answer it.
func (d *run) exec(attempt *Attempt, worker *Worker) *Arrival {
	arrival := &Arrival{Worker: worker, Method: attempt.Method, URI: attempt.URI, Body: attempt.Body, CallerService: d.serviceOf[attempt.Ingress], Timeout: attempt.Timeout - time.Since(attempt.Start)}
	d.RecordArrival(arrival, attempt.ID)
	arrival.Start = time.Now()
	wait(10 * time.Millisecond)
	d.sequence++
	arrival.Status, arrival.Digest, arrival.AnswerBody, arrival.End = 200, fmt.Sprint("stamp", d.sequence), Body{10, uint64(d.sequence)}, time.Now()
	return arrival
}

// reply brings a worker's answer to the client.
func (d *run) reply(attempt *Attempt, arrival *Arrival) {
	wait(time.Millisecond)
	d.AttemptEnded(attempt, Answer{Status: arrival.Status, ID: attempt.ID, Digest: arrival.Digest, Body: arrival.AnswerBody, Complete: true, RequestRead: true})
}

func (d *run) serve() (*Attempt, *Arrival) {
	attempt := d.try()
	arrival := d.exec(attempt, d.w1)
	d.reply(attempt, arrival)
	return attempt, arrival
}

func (d *run) fail(attempt *Attempt, code int) {
	wait(time.Millisecond)
	d.AttemptEnded(attempt, Answer{Status: code, Complete: true, RequestRead: true})
}

// cut ends a try's connection without an answer.
func (d *run) cut(attempt *Attempt) { d.AttemptEnded(attempt, Answer{RequestRead: true}) }

type scenarioCase struct {
	name, rule string // no rule: nothing may be blamed
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
				breaches, notes := r.Verdict()
				for rule, n := range breaches {
					if rule != testCase.rule {
						t.Errorf("blamed besides: %d × %s %v", n, rule, notes)
					}
				}
				if testCase.rule != "" && breaches[testCase.rule] == 0 {
					t.Errorf("not caught: %s (%v)", testCase.rule, notes)
				}
			})
		})
	}
}

// TestBreaches: each breach of each rule is caught, what looks like one is not
// blamed, and no rule is without a breach here.
func TestBreaches(t *testing.T) {
	caught := map[string]bool{}
	for _, cases := range [][]scenarioCase{answerScenarios(), documentScenarios(), leavingScenarios(), ownerEndingScenarios(), readinessScenarios(), attemptAndDenialScenarios(), splitScenarios(), reusedConnScenarios(), timeoutScenarios(), callerGoneScenarios(), coordinationScenarios(), budgetScenarios()} {
		runScenarios(t, cases)
		for _, testCase := range cases {
			caught[testCase.rule] = true
		}
	}
	for _, rule := range Rules {
		if !caught[rule] {
			t.Errorf("no breach of %s is seeded", rule)
		}
	}
}

// answerScenarios breaks what is promised of answers and runs.
func answerScenarios() []scenarioCase {
	return []scenarioCase{
		{"a clean day", "", func(r *run) { r.serve() }},
		{"no stamp", Mixed, func(r *run) { t, v := r.try(), (*Arrival)(nil); v = r.exec(t, r.w1); v.Digest = ""; r.reply(t, v) }},
		{"half a body that looks whole", Mixed, func(r *run) {
			t := r.try()
			v := *r.exec(t, r.w1)
			v.AnswerBody.Size = 5
			r.reply(t, &v)
		}},
		{"half a body that is seen to be cut", "", func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.WorkerFailed = true
			r.AttemptEnded(t, Answer{Status: 200, ID: t.ID, Digest: v.Digest, Body: Body{5, 5}, RequestRead: true})
		}},
		{"another's answer", Mixed, func(r *run) {
			_, v := r.serve()
			t := r.try()
			r.exec(t, r.w1)
			r.AttemptEnded(t, Answer{Status: 500, ID: v.Attempt.ID, Complete: true})
		}},
		{"another's stamp", Mixed, func(r *run) {
			_, v := r.serve()
			t := r.try()
			r.exec(t, r.w1)
			r.reply(t, v)
		}},
		{"success of a failure", Mixed, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			unchanged := *v
			v.Status = 500
			r.reply(t, &unchanged)
		}},
		{"no answer in the protocol", Mixed, func(r *run) { r.AttemptEnded(r.try(), Answer{Malformed: true}) }},
		{"the worker's own bytes that are no answer", "", func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.WorkerFailed, v.Status, v.Digest = true, 0, ""
			r.AttemptEnded(t, Answer{Malformed: true})
		}},
		{"bytes for nobody", Mixed, func(r *run) { r.UnexpectedBytes("m1", "HTTP/1.1 200 OK") }},
		{"sent by nobody", Unasked, func(r *run) {
			v := &Arrival{Worker: r.w1, Method: "GET", URI: "/a/x", CallerService: "s"}
			r.RecordArrival(v, "unknown")
			v.Start = time.Now()
		}},
		{"changed on its way", Unasked, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.URI = "/a/x"
			r.reply(t, v)
		}},
		{"another body", Unasked, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.Body = Body{3, 5}
			r.reply(t, v)
		}},
		{"a forged caller", Unasked, func(r *run) {
			t := r.try()
			v := r.exec(t, r.w1)
			v.CallerService = "u"
			r.reply(t, v)
		}},
		{"twice", Twice, func(r *run) { t := r.try(); r.exec(t, r.w1); r.reply(t, r.exec(t, r.w1)) }},
		{"twice, of what may be", "", func(r *run) { t := r.try(); t.Retryable = true; r.exec(t, r.w1); r.reply(t, r.exec(t, r.w1)) }},
		{"declined, then run", "", func(r *run) {
			t := r.try()
			v := &Arrival{Worker: r.w1, DeclinedStatus: 503, Status: 503}
			r.RecordArrival(v, t.ID)
			r.reply(t, r.exec(t, r.w1))
		}},
		{"refused and ran before", Refused, func(r *run) { t := r.try(); r.exec(t, r.w1); r.fail(t, 503) }},
		{"refused and ran later", Refused, func(r *run) { t := r.try(); r.fail(t, 429); wait(time.Second); r.exec(t, r.w1) }},
		{"refused unrun", "", func(r *run) { r.fail(r.try(), 503) }},
		{"denied", Denied, func(r *run) {
			for range 7 {
				r.fail(r.try(), 400)
			}
		}},
		{"denied now and then", "", func(r *run) {
			for range 5 {
				r.fail(r.try(), 400)
			}
		}},
		{"denied out of touch", "", func(r *run) {
			end := r.Touch.Begin("m1", "cut")
			for range 9 {
				r.fail(r.try(), 400)
			}
			end()
		}},
		{"a service that was never allowed", Route, func(r *run) { t := r.try(); r.reply(t, r.exec(t, r.w2)) }},
	}
}
