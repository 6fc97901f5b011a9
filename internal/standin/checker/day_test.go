package checker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// day is a history made by hand: two machines with a worker each, and a
// document that sends all of h.example/a/ to one service, later to another.
type day struct {
	*Witness
	k, l *Worker
	n    int
}

func pass(d time.Duration) { <-time.After(d) }

func route(services ...string) []Path {
	p := Path{Name: "p", Host: "h.example", Prefix: "/a/", Services: map[string]int{}, Left: time.Second}
	for _, s := range services {
		p.Services[s] = 1
	}
	return []Path{p}
}

func newDay() *day {
	d := &day{Witness: New(Usual), k: &Worker{Name: "k", Service: "s", Machine: "m1"}, l: &Worker{Name: "l", Service: "u", Machine: "m2"}}
	d.Worked(d.k)
	d.Worked(d.l)
	d.doc(1, "s")
	pass(5 * time.Second)
	return d
}

// doc sends a document and has it acknowledged.
func (d *day) doc(n uint64, services ...string) *Doc {
	c := d.send(n, services...)
	pass(time.Millisecond)
	d.Took(c, "c1")
	return c
}

func (d *day) send(n uint64, services ...string) *Doc {
	c := &Doc{Number: n, Paths: route(services...)}
	d.Offer(c)
	return c
}

// ask sends a try to the first machine.
func (d *day) ask() *Try {
	d.n++
	id := fmt.Sprint("t", d.n)
	t := &Try{ID: id, Job: id, Kind: "a", Front: "m1", Host: "h.example", Method: "GET", URI: "/a/x?q=1", Body: Body{3, 4}, Left: time.Second, From: time.Now()}
	d.Send(t)
	d.Sent(t)
	return t
}

// run has a worker take a try up and answer it.
func (d *day) run(t *Try, k *Worker) *Visit {
	v := &Visit{Worker: k, Method: t.Method, URI: t.URI, Body: t.Body, From: d.serves[t.Front], Given: t.Left - time.Since(t.From)}
	d.Arrive(v, t.ID)
	v.Start = time.Now()
	pass(10 * time.Millisecond)
	d.n++
	v.Status, v.Stamp, v.Gave, v.End = 200, fmt.Sprint("stamp", d.n), Body{10, uint64(d.n)}, time.Now()
	return v
}

// give brings a worker's answer to the client.
func (d *day) give(t *Try, v *Visit) {
	pass(time.Millisecond)
	d.Ended(t, Answer{Status: v.Status, ID: t.ID, Stamp: v.Stamp, Body: v.Gave, Whole: true, Taken: true})
}

func (d *day) whole() (*Try, *Visit) {
	t := d.ask()
	v := d.run(t, d.k)
	d.give(t, v)
	return t, v
}

func (d *day) own(t *Try, code int) {
	pass(time.Millisecond)
	d.Ended(t, Answer{Status: code, Whole: true, Taken: true})
}

// cut ends a try's connection without an answer.
func (d *day) cut(t *Try) { d.Ended(t, Answer{Taken: true}) }

type breach struct {
	name, rule string // no rule: nothing may be blamed
	do         func(*day)
}

func judge(t *testing.T, list []breach) {
	for _, b := range list {
		t.Run(b.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDay()
				d.whole()
				b.do(d)
				pass(time.Second)
				bad, notes := d.Verdict()
				for rule, n := range bad {
					if rule != b.rule {
						t.Errorf("blamed besides: %d × %s %v", n, rule, notes)
					}
				}
				if b.rule != "" && bad[b.rule] == 0 {
					t.Errorf("not caught: %s (%v)", b.rule, notes)
				}
			})
		})
	}
}

// TestBreaches: each breach of each rule is caught, what looks like one is not
// blamed, and no rule is without a breach here.
func TestBreaches(t *testing.T) {
	caught := map[string]bool{}
	for _, list := range [][]breach{answers(), docs(), leaving(), ownerEnding(), readiness(), triesAndDenials(), splitDays(), keptCuts(), times(), gone(), coords(), budgets()} {
		judge(t, list)
		for _, b := range list {
			caught[b.rule] = true
		}
	}
	for _, rule := range Rules {
		if !caught[rule] {
			t.Errorf("no breach of %s is seeded", rule)
		}
	}
}

// answers breaks what is promised of answers and runs.
func answers() []breach {
	return []breach{
		{"a clean day", "", func(d *day) { d.whole() }},
		{"no stamp", Mixed, func(d *day) { t, v := d.ask(), (*Visit)(nil); v = d.run(t, d.k); v.Stamp = ""; d.give(t, v) }},
		{"half a body that looks whole", Mixed, func(d *day) {
			t := d.ask()
			v := *d.run(t, d.k)
			v.Gave.Size = 5
			d.give(t, &v)
		}},
		{"half a body that is seen to be cut", "", func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			v.Broke = true
			d.Ended(t, Answer{Status: 200, ID: t.ID, Stamp: v.Stamp, Body: Body{5, 5}, Taken: true})
		}},
		{"another's answer", Mixed, func(d *day) {
			_, v := d.whole()
			t := d.ask()
			d.run(t, d.k)
			d.Ended(t, Answer{Status: 500, ID: v.Try.ID, Whole: true})
		}},
		{"another's stamp", Mixed, func(d *day) {
			_, v := d.whole()
			t := d.ask()
			d.run(t, d.k)
			d.give(t, v)
		}},
		{"success of a failure", Mixed, func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			c := *v
			v.Status = 500
			d.give(t, &c)
		}},
		{"no answer in the protocol", Mixed, func(d *day) { d.Ended(d.ask(), Answer{Broken: true}) }},
		{"the worker's own bytes that are no answer", "", func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			v.Broke, v.Status, v.Stamp = true, 0, ""
			d.Ended(t, Answer{Broken: true})
		}},
		{"bytes for nobody", Mixed, func(d *day) { d.Stray("m1", "HTTP/1.1 200 OK") }},
		{"sent by nobody", Unasked, func(d *day) {
			v := &Visit{Worker: d.k, Method: "GET", URI: "/a/x", From: "s"}
			d.Arrive(v, "unknown")
			v.Start = time.Now()
		}},
		{"changed on its way", Unasked, func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			v.URI = "/a/x"
			d.give(t, v)
		}},
		{"another body", Unasked, func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			v.Body = Body{3, 5}
			d.give(t, v)
		}},
		{"a forged caller", Unasked, func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			v.From = "u"
			d.give(t, v)
		}},
		{"twice", Twice, func(d *day) { t := d.ask(); d.run(t, d.k); d.give(t, d.run(t, d.k)) }},
		{"twice, of what may be", "", func(d *day) { t := d.ask(); t.Repeat = true; d.run(t, d.k); d.give(t, d.run(t, d.k)) }},
		{"declined, then run", "", func(d *day) {
			t := d.ask()
			v := &Visit{Worker: d.k, Declined: 503, Status: 503}
			d.Arrive(v, t.ID)
			d.give(t, d.run(t, d.k))
		}},
		{"refused and ran before", Refused, func(d *day) { t := d.ask(); d.run(t, d.k); d.own(t, 503) }},
		{"refused and ran later", Refused, func(d *day) { t := d.ask(); d.own(t, 429); pass(time.Second); d.run(t, d.k) }},
		{"refused unrun", "", func(d *day) { d.own(d.ask(), 503) }},
		{"denied", Denied, func(d *day) {
			for range 7 {
				d.own(d.ask(), 400)
			}
		}},
		{"denied now and then", "", func(d *day) {
			for range 5 {
				d.own(d.ask(), 400)
			}
		}},
		{"denied out of touch", "", func(d *day) {
			end := d.Touch.Begin("m1", "cut")
			for range 9 {
				d.own(d.ask(), 400)
			}
			end()
		}},
		{"a service that was never allowed", Route, func(d *day) { t := d.ask(); d.give(t, d.run(t, d.l)) }},
	}
}
