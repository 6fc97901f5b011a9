package checker

import "time"

// splitDays has a path that sends half of its requests to each of two services.
func splitDays() []breach {
	halves := func(many int, to func(d *day, i int) *Worker) func(d *day) {
		return func(d *day) {
			d.doc(2, "s", "u")
			pass(3 * time.Second)
			for i := range many {
				t := d.ask()
				if k := to(d, i); k != nil {
					d.give(t, d.run(t, k))
				} else {
					d.own(t, 503)
				}
			}
		}
	}
	one := func(d *day, _ int) *Worker { return d.k }
	return []breach{
		{"a split of which one part gets all", Config, halves(200, one)},
		{"a split of which one part gets all, of a few", "", halves(199, one)},
		{"a split of which one part gets two thirds", "", halves(300, func(d *day, i int) *Worker {
			if i%3 == 0 {
				return d.l
			}
			return d.k
		})},
		{"a split of which one part turns away", "", halves(200, func(d *day, i int) *Worker {
			if i == 100 {
				return nil
			}
			return d.k
		})},
		{"a split of which one part gets all, out of touch", "", func(d *day) {
			d.Touch.Begin("m1", "frozen")
			halves(200, one)(d)
		}},
	}
}
