package checker

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

// lasts gives the paths of all documents a time.
func (d *day) lasts(left time.Duration) {
	for _, c := range d.docs {
		for i := range c.Paths {
			c.Paths[i].Left = left
		}
	}
}
