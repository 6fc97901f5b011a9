package witness

import (
	"fmt"
	"time"
)

// docs breaks what is promised of documents.
func docs() []breach {
	old := func(d *day) { d.run(d.ask(), d.k) }
	return []breach{
		{"an old document after the bound", Config, func(d *day) { d.doc(2, "u"); pass(2100 * time.Millisecond); old(d) }},
		{"an old document within the bound", "", func(d *day) { d.doc(2, "u"); pass(1900 * time.Millisecond); old(d) }},
		{"an old document, unsettled core", "", func(d *day) { d.doc(2, "u"); pass(5 * time.Second); d.Touch.Core("kill"); old(d) }},
		{"an old document, unsettled core, longer than that allows", Config, func(d *day) {
			d.doc(2, "u")
			pass(8 * time.Second)
			d.Touch.Core("kill")
			old(d)
		}},
		{"an old document, no majority", "", func(d *day) { d.doc(2, "u"); defer d.Touch.Minority()(); pass(9 * time.Second); old(d) }},
		{"an old document out of touch", "", func(d *day) {
			d.doc(2, "u")
			end := d.Touch.Begin("m1", "cut")
			pass(9 * time.Second)
			end()
			pass(2 * time.Second)
			old(d)
		}},
		{"a new document without an answer", "", func(d *day) {
			d.send(2, "u")
			pass(9 * time.Second)
			old(d)
			d.run(d.ask(), d.l)
			d.docs[1].End = d.docs[1].From
		}},
		{"404 though the path is there", Config, func(d *day) { pass(time.Second); d.own(d.ask(), 404) }},
		{"a dropped path is run", Config, func(d *day) {
			c := d.send(2)
			c.Paths = nil
			d.Took(c, "c1")
			pass(3 * time.Second)
			old(d)
		}},
		{"a step back", Config, func(d *day) {
			d.doc(2, "u")
			d.run(d.ask(), d.l)
			pass(300 * time.Millisecond)
			old(d)
		}},
		{"a step back within the slack", "", func(d *day) { d.doc(2, "u"); d.run(d.ask(), d.l); pass(200 * time.Millisecond); old(d) }},
		{"a step back while slowed", "", func(d *day) {
			defer d.Touch.Begin("m1", Slowed)()
			d.doc(2, "u")
			d.run(d.ask(), d.l)
			pass(time.Second)
			old(d)
		}},
		{"a step back in another life", "", func(d *day) {
			d.doc(2, "u")
			d.run(d.ask(), d.l)
			d.Lives("m1")
			pass(300 * time.Millisecond)
			old(d)
		}},
		{"a broken one acknowledged", Config, func(d *day) {
			c := d.send(2)
			c.Broken = "cut short"
			d.Took(c, "c1")
		}},
		{"a broken one acted on", Config, func(d *day) {
			c := d.send(2, "u")
			c.Broken, c.Refused = "zero tries", time.Now()
			d.run(d.ask(), d.l)
		}},
		{"read back old", Config, func(d *day) {
			d.doc(2, "s")
			pass(1)
			d.ReadBack(Read{From: time.Now(), Number: 1, Same: true, Came: true})
		}},
		{"read back other", Config, func(d *day) { d.ReadBack(Read{From: time.Now(), Number: 1, Came: true}) }},
		{"not read back", Config, func(d *day) { d.ReadBack(Read{From: time.Now(), Final: true}) }},
		{"read back old after the fault", Lost, func(d *day) {
			d.doc(2, "s")
			d.Closing()
			pass(1)
			d.ReadBack(Read{From: time.Now(), Number: 1, Same: true, Came: true})
		}},
		{"read back as it is", "", func(d *day) { d.ReadBack(Read{From: time.Now(), Number: 1, Same: true, Came: true, Final: true}) }},
		{"no acknowledgement", Acks, func(d *day) { d.send(2, "s"); pass(5 * time.Second) }},
		{"no acknowledgement in trouble", "", func(d *day) {
			defer d.Touch.Begin("m2", "cut")()
			d.send(2, "s")
			pass(9 * time.Second)
			d.docs[1].End = time.Now()
		}},
		{"no acknowledgement after trouble", Acks, func(d *day) {
			d.send(2, "s")
			pass(time.Second)
			d.Touch.Core("kill")
			pass(9 * time.Second)
		}},
		{"added paths unserved", Config, func(d *day) {
			c := &Doc{Number: 2, Paths: route("s")}
			for i := range 25 {
				c.Paths = append(c.Paths, Path{Host: "h.example", Prefix: fmt.Sprintf("/b%d/", i), Services: map[string]int{"s": 1}})
			}
			d.Offer(c)
			d.Took(c, "c1")
			pass(3 * time.Second)
			for i := range 25 {
				t := d.ask()
				t.URI = fmt.Sprintf("/b%d/x", i)
				d.own(t, 503)
				d.whole()
			}
		}},
	}
}

// leaving has what reaches a worker that left and what planned work breaks off,
// beside what others broke off.
func leaving() []breach {
	late := func(d *day, by string) {
		d.Leaves(d.k)
		d.LeaveTaken(d.k, by)
		pass(2100 * time.Millisecond)
		d.whole()
	}
	cutAt := func(after time.Duration, change func(d *day, t *Try)) func(d *day) {
		return func(d *day) {
			t := d.ask()
			change(d, t)
			d.Term("m1")
			pass(after)
			d.cut(t)
		}
	}
	work := func(d *day, t *Try) { v := d.run(t, d.k); v.End = time.Time{} }
	long := func(d *day, t *Try) { d.lasts(10 * time.Second); t.Left = 10 * time.Second; work(d, t) }
	ownAt := func(name, rule string, after time.Duration) breach {
		return breach{name, rule, func(d *day) {
			t := d.ask()
			long(d, t)
			d.Term("m1")
			pass(after)
			d.own(t, 504)
		}}
	}
	return []breach{
		{"sent after the bound", Drain, func(d *day) { late(d, "m1") }},
		{"sent after the bound, unsettled", "", func(d *day) { d.Touch.Core("kill"); late(d, "m1") }},
		{"sent after the bound, acknowledged by one out of touch", Drain, func(d *day) { d.Touch.Begin("m2", "killed")(); late(d, "m2") }},
		{"sent within the bound", "", func(d *day) { d.Leaves(d.k); d.LeaveTaken(d.k, "m1"); pass(time.Second); d.whole() }},
		{"cut off at work", Lost, cutAt(10*time.Millisecond, work)},
		{"cut off unsent, late", Lost, cutAt(300*time.Millisecond, func(*day, *Try) {})},
		{"cut off unsent, soon", "", cutAt(100*time.Millisecond, func(*day, *Try) {})},
		{"the worker broke off", "", cutAt(10*time.Millisecond, func(d *day, t *Try) { work(d, t); t.Visits[0].Broke = true })},
		{"the deadline was reached", "", cutAt(2*time.Second, work)},
		{"cut off in trouble", "", cutAt(10*time.Millisecond, func(d *day, t *Try) { work(d, t); d.Touch.Core("kill") })},
		{"an own answer in the worker's place", Lost, func(d *day) {
			t := d.ask()
			d.Term("m1")
			v := d.run(t, d.k)
			v.End = time.Time{}
			d.own(t, 502)
		}},
		ownAt("an own answer in the first half of the grace", Lost, 2900*time.Millisecond),
		ownAt("an own answer in the second half, the worker at work", "", 3100*time.Millisecond),
		{"cut off in the first half of the grace", Lost, cutAt(2900*time.Millisecond, long)},
		{"cut off in the second half, the worker at work", "", cutAt(3100*time.Millisecond, long)},
		{"an own answer ahead of what the client told", Lost, func(d *day) {
			t := d.ask()
			t.Left, t.Told = 1000500*time.Microsecond, time.Second
			d.Term("m1")
			v := d.run(t, d.k)
			v.End = time.Time{}
			pass(988 * time.Millisecond)
			d.own(t, 504)
		}},
		{"an own answer at the time that the client told", "", func(d *day) {
			t := d.ask()
			t.Left, t.Told = 1000500*time.Microsecond, time.Second
			d.Term("m1")
			v := d.run(t, d.k)
			v.End = time.Time{}
			pass(989 * time.Millisecond)
			d.own(t, 504)
		}},
		{"an own answer with no order", "", func(d *day) {
			t := d.ask()
			v := d.run(t, d.k)
			v.End = time.Time{}
			d.own(t, 502)
		}},
		{"cut off around a change", Lost, func(d *day) { d.doc(2, "s"); t := d.ask(); work(d, t); d.cut(t) }},
		{"cut off at the settings' change", Lost, func(d *day) { d.Hup("m1"); t := d.ask(); work(d, t); d.cut(t) }},
		{"leaves unheard", Acks, func(d *day) {
			for i := range 3 {
				k := &Worker{Name: fmt.Sprint("w", i), Service: "s", Machine: "m1"}
				d.Worked(k)
				d.Leaves(k)
			}
			pass(5 * time.Second)
		}},
	}
}

// lasts gives the paths of all documents a time.
func (d *day) lasts(left time.Duration) {
	for _, c := range d.docs {
		for i := range c.Paths {
			c.Paths[i].Left = left
		}
	}
}
