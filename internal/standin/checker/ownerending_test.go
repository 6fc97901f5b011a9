package checker

import "time"

// ownerEnding has answers of the mesh's own in a stop, whose run ended with the node
// beside its worker.
func ownerEnding() []breach {
	return []breach{
		{"an own answer as the worker's node ends, in the last sixth of its grace", "", func(d *day) {
			t := d.ask()
			d.doc(2, "s", "u")
			d.lasts(10 * time.Second)
			t.Left = 10 * time.Second
			d.Term("m2")
			pass(2 * time.Second)
			d.Term("m1")
			v := d.run(t, d.l)
			v.End = time.Time{}
			pass(3100 * time.Millisecond)
			d.own(t, 502)
		}},
		{"an own answer as the worker's node ends, before the last sixth of its grace", Lost, func(d *day) {
			t := d.ask()
			d.doc(2, "s", "u")
			d.lasts(10 * time.Second)
			t.Left = 10 * time.Second
			d.Term("m2")
			pass(2 * time.Second)
			d.Term("m1")
			v := d.run(t, d.l)
			v.End = time.Time{}
			pass(2900 * time.Millisecond)
			d.own(t, 502)
		}},
		{"an own answer as the worker's node ends, of what others could have had", Lost, func(d *day) {
			t := d.ask()
			t.Repeat = true
			d.doc(2, "s", "u")
			d.lasts(10 * time.Second)
			t.Left = 10 * time.Second
			d.Term("m2")
			pass(2 * time.Second)
			d.Term("m1")
			v := d.run(t, d.l)
			v.End = time.Time{}
			pass(3100 * time.Millisecond)
			d.own(t, 502)
		}},
		{"an own answer in a stop, the run ended with its node before the order", Lost, func(d *day) {
			t := d.ask()
			t.Repeat = true
			d.doc(2, "s", "u")
			d.lasts(20 * time.Second)
			t.Left = 20 * time.Second
			d.Term("m2")
			v := d.run(t, d.l)
			pass(5200 * time.Millisecond)
			v.Status, v.Stamp, v.End = 0, "", time.Now()
			pass(time.Second)
			d.Term("m1")
			pass(2 * time.Second)
			d.own(t, 502)
		}},
		{"an own answer long after the worker's node ended, of what may not be repeated", Lost, func(d *day) {
			t := d.ask()
			d.doc(2, "s", "u")
			d.lasts(20 * time.Second)
			t.Left = 20 * time.Second
			d.Term("m2")
			v := d.run(t, d.l)
			pass(5200 * time.Millisecond)
			v.Status, v.Stamp, v.End = 0, "", time.Now()
			d.Term("m1")
			pass(2 * time.Second)
			d.own(t, 502)
		}},
		{"an own answer as the worker's node ends a second time, a first run ended with it before", Lost, func(d *day) {
			d.doc(2, "s", "u")
			d.lasts(20 * time.Second)
			t := d.ask()
			t.Left, t.Repeat = 20*time.Second, true
			d.Term("m2")
			d.run(t, d.l)
			pass(5100 * time.Millisecond)
			first := t.Visits[0]
			first.Status, first.Stamp, first.End = 0, "", time.Now()
			d.Lives("m2")
			d.Term("m2")
			pass(time.Second)
			d.Term("m1")
			v := d.run(t, d.l)
			v.End = time.Time{}
			pass(4200 * time.Millisecond)
			d.own(t, 502)
		}},
		{"cut off as the worker's node ends", Lost, func(d *day) {
			t := d.ask()
			d.doc(2, "s", "u")
			d.lasts(10 * time.Second)
			t.Left = 10 * time.Second
			d.Term("m2")
			pass(2 * time.Second)
			d.Term("m1")
			v := d.run(t, d.l)
			v.End = time.Time{}
			pass(3100 * time.Millisecond)
			d.cut(t)
		}},
		{"an own answer as the worker's node ends, begun late there", Lost, func(d *day) {
			d.doc(2, "s", "u")
			d.lasts(10 * time.Second)
			d.Term("m2")
			pass(3100 * time.Millisecond)
			t := d.ask()
			t.Left = 10 * time.Second
			d.Term("m1")
			v := d.run(t, d.l)
			v.End = time.Time{}
			pass(2 * time.Second)
			d.own(t, 502)
		}},
	}
}
