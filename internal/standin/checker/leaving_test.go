package checker

import (
	"fmt"
	"time"
)

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
	// sentAt has a request sent at a time after the order, which ends with an answer of
	// the mesh's own in the last sixth of the grace.
	sentAt := func(name, rule string, after time.Duration) breach {
		return breach{name, rule, func(d *day) {
			d.Term("m1")
			pass(after)
			t := d.ask()
			long(d, t)
			pass(5500*time.Millisecond - after)
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
		ownAt("an own answer in the second half, the worker at work", Lost, 3100*time.Millisecond),
		ownAt("an own answer right before the last sixth, the worker at work", Lost, 4900*time.Millisecond),
		ownAt("an own answer in the last sixth, the worker at work", "", 5100*time.Millisecond),
		{"cut off in the first half of the grace", Lost, cutAt(2900*time.Millisecond, long)},
		{"cut off in the second half, the worker at work", Lost, cutAt(3100*time.Millisecond, long)},
		{"cut off right before the last sixth, the worker at work", Lost, cutAt(4900*time.Millisecond, long)},
		{"cut off in the last sixth, the worker at work", "", cutAt(5100*time.Millisecond, long)},
		{"cut off in the last sixth, the worker done before", Lost, cutAt(5100*time.Millisecond, func(d *day, t *Try) {
			d.lasts(10 * time.Second)
			t.Left = 10 * time.Second
			d.run(t, d.k)
		})},
		sentAt("sent early in the stop, the worker at work in the last sixth", "", 2900*time.Millisecond),
		sentAt("sent late in the stop, the worker at work in the last sixth", Lost, 3100*time.Millisecond),
		{"an own answer after a run that was broken off", Lost, func(d *day) {
			t := d.ask()
			long(d, t)
			d.Term("m1")
			pass(100 * time.Millisecond)
			v := t.Visits[0]
			v.Status, v.Stamp, v.End = 0, "", time.Now()
			pass(50 * time.Millisecond)
			d.own(t, 504)
		}},
		{"busy after a run that was broken off", Lost, func(d *day) {
			t := d.ask()
			t.Repeat = true
			long(d, t)
			d.Term("m1")
			pass(100 * time.Millisecond)
			v := t.Visits[0]
			v.Status, v.Stamp, v.End = 0, "", time.Now()
			d.own(t, 503)
		}},
		{"an own answer, the settings changed before the order to end", Lost, func(d *day) {
			d.Hup("m1")
			t := d.ask()
			long(d, t)
			d.Term("m1")
			pass(time.Second)
			d.own(t, 504)
		}},
		{"told to end twice, the worker at work in the last sixth of the first grace", "", func(d *day) {
			t := d.ask()
			long(d, t)
			d.Term("m1")
			pass(time.Second)
			d.Term("m1")
			pass(4100 * time.Millisecond)
			d.own(t, 504)
		}},
		{"told to end in two lives", Lost, func(d *day) {
			d.Term("m1")
			pass(time.Second)
			d.Lives("m1")
			d.Term("m1")
			t := d.ask()
			long(d, t)
			pass(4500 * time.Millisecond)
			d.own(t, 504)
		}},
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
