package checker

import (
	"fmt"
	"time"
)

// triesAndDenials has tries that go to too many workers, answers of the mesh's own that
// look like a worker's, and proper requests that machines out of touch turn away.
func triesAndDenials() []breach {
	onWorkers := func(many, workers int, broke bool) func(d *day) {
		return func(d *day) {
			d.docs[0].Paths[0].Tries = 2
			for range many {
				t := d.ask()
				t.Repeat = true
				var v *Visit
				for i := range workers {
					v = d.run(t, &Worker{Name: fmt.Sprint("w", i), Service: "s", Machine: "m1"})
					v.Broke = broke && i == 0
				}
				d.give(t, v)
			}
		}
	}
	denied := func(many, status int) func(d *day) {
		return func(d *day) {
			d.Touch.Begin("m1", "frozen")
			pass(time.Second)
			for range many {
				d.own(d.ask(), status)
			}
		}
	}
	return []breach{
		{"tries on three workers of two", Budget, onWorkers(4, 3, false)},
		{"few tries on three workers of two", "", onWorkers(3, 3, false)},
		{"tries on three workers of two, one of which broke off", "", onWorkers(4, 3, true)},
		{"tries on two workers of two", "", onWorkers(9, 2, false)},
		{"a failure with a worker's stamp and another status", Mixed, func(d *day) {
			t := d.ask()
			v := *d.run(t, d.k)
			v.Status = 502
			d.give(t, &v)
		}},
		{"turned away out of touch", Denied, denied(11, 404)},
		{"a few turned away out of touch", "", denied(5, 404)},
		{"other failures out of touch", "", denied(20, 400)},
		{"turned away out of touch for what one document does not allow", "", func(d *day) {
			d.docs = append(d.docs, &Doc{Number: 2, From: time.Now(), End: time.Now()})
			denied(11, 404)(d)
		}},
	}
}
