package checker

import "time"

// times breaks what is promised of a path's time and of the time handed to workers.
func times() []breach {
	held := func(many int, after time.Duration) func(d *day) {
		return func(d *day) {
			for range many {
				t := d.ask()
				t.Left = 5 * time.Second
				pass(time.Second + after)
				d.own(t, 504)
			}
		}
	}
	handed := func(many int, given time.Duration) func(d *day) {
		return func(d *day) {
			for range many {
				t := d.ask()
				v := d.run(t, d.k)
				v.Given = given
				d.give(t, v)
			}
		}
	}
	return []breach{
		{"held past the path's time", Config, held(8, 600*time.Millisecond)},
		{"held a little past it", "", held(12, 400*time.Millisecond)},
		{"held past it now and then", "", held(7, 600*time.Millisecond)},
		{"handed more time than is left", Budget, handed(21, 1600*time.Millisecond)},
		{"handed none", Budget, handed(21, 0)},
		{"handed what is left", "", handed(40, 950*time.Millisecond)},
		{"handed more now and then", "", handed(20, 1600*time.Millisecond)},
	}
}
