package checker

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOwed: nothing is owed to a client that leaves early, unless it was served.
func TestOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay()
		d.whole()
		d.own(d.ask(), 503)
		early := d.ask()
		early.Early = true
		d.Ended(early, Answer{GaveUp: true})
		soon, _ := d.whole()
		soon.Early = true
		if served, owed := d.Served("", time.Time{}, time.Now()); served != 2 || owed != 3 {
			t.Errorf("%d of %d served, want 2 of 3", served, owed)
		}
	})
}

// gone breaks what is promised of callers that leave: what reaches a worker late for a caller that left, and what may be
// repeated and runs on for one, is blamed; what ends in time is not.
func gone() []breach {
	leaves := func(d *day, repeat bool) *Try {
		t := d.ask()
		t.Repeat = repeat
		return t
	}
	quit := func(d *day, t *Try) { d.Ended(t, Answer{GaveUp: true, Taken: true}) }
	atWork := func(d *day, repeat bool) (*Try, *Visit) {
		t := leaves(d, repeat)
		v := d.run(t, d.k)
		v.End = time.Time{}
		pass(100 * time.Millisecond)
		quit(d, t)
		return t, v
	}
	return []breach{
		{"runs on", Gone, func(d *day) { atWork(d, true); pass(time.Second) }},
		{"runs on, but is not to be repeated", "", func(d *day) { atWork(d, false); pass(time.Second) }},
		{"ends in time", "", func(d *day) { _, v := atWork(d, true); pass(400 * time.Millisecond); v.End = time.Now() }},
		{"ends late", Gone, func(d *day) { _, v := atWork(d, true); pass(600 * time.Millisecond); v.End = time.Now() }},
		{"runs on, its machine out of touch", "", func(d *day) { d.Touch.Begin("m1", "frozen"); atWork(d, true); pass(time.Second) }},
		{"reaches a worker late", Gone, func(d *day) {
			t := leaves(d, false)
			quit(d, t)
			pass(600 * time.Millisecond)
			d.run(t, d.k)
		}},
		{"reaches a worker soon", "", func(d *day) {
			t := leaves(d, true)
			quit(d, t)
			pass(300 * time.Millisecond)
			d.run(t, d.k)
		}},
	}
}
