package checker

import "time"

// op makes a call that takes a millisecond.
func (d *day) op(o Op, code int, num uint64) *Op {
	o.From = time.Now()
	pass(time.Millisecond)
	o.To, o.Code, o.Num = time.Now(), code, num
	d.Called(&o)
	pass(time.Millisecond)
	return &o
}

func (d *day) put(key, value string, code int, rev uint64) *Op {
	return d.op(Op{Kind: Put, Name: key, Value: value}, code, rev)
}

func (d *day) get(key, value string, rev uint64) {
	d.op(Op{Kind: Get, Name: key, Value: value}, 200, rev)
}

func (d *day) hold(owner string, fence uint64, long time.Duration) *Hold {
	h := &Hold{Name: "l", Owner: owner, Fence: fence, From: time.Now(), Until: time.Now().Add(long)}
	d.Holds(h)
	return h
}

// coords breaks what is promised of locks, numbers and keys.
func coords() []breach {
	take := func(d *day, owner string, fence uint64) { d.op(Op{Kind: Take, Name: "l", Owner: owner}, 200, fence) }
	watch := func(d *day, after, rev uint64, list ...Change) {
		d.op(Op{Kind: Watch, Name: "g.", After: after, Changes: list}, 200, rev)
	}
	return []breach{
		{"two holders", One, func(d *day) { d.hold("a", 1, time.Second); pass(time.Millisecond); d.hold("b", 2, time.Second) }},
		{"one after the other", "", func(d *day) { d.hold("a", 1, time.Second); pass(time.Second); d.hold("b", 2, time.Second) }},
		{"the same one again", "", func(d *day) { d.hold("a", 1, time.Second); d.hold("a", 1, 2*time.Second) }},
		{"a fence that fell", One, func(d *day) { take(d, "a", 5); take(d, "b", 4) }},
		{"a fence for two", One, func(d *day) { take(d, "a", 5); take(d, "b", 5) }},
		{"a fence got again", "", func(d *day) { take(d, "a", 5); take(d, "a", 5); take(d, "b", 6) }},
		{"a number twice", Order, func(d *day) { d.op(Op{Kind: Number, Name: "n"}, 200, 5); d.op(Op{Kind: Number, Name: "n"}, 200, 5) }},
		{"a number that fell", Order, func(d *day) { d.op(Op{Kind: Number, Name: "n"}, 200, 5); d.op(Op{Kind: Number, Name: "n"}, 200, 4) }},
		{"numbers of two names", "", func(d *day) { d.op(Op{Kind: Number, Name: "n"}, 200, 5); d.op(Op{Kind: Number, Name: "m"}, 200, 4) }},
		{"a revision twice", Order, func(d *day) { d.put("g.a", "x", 200, 5); d.put("g.b", "y", 200, 5) }},
		{"a revision that fell", Order, func(d *day) { d.put("g.a", "x", 200, 5); d.put("g.b", "y", 200, 4) }},
		{"a put sent again", "", func(d *day) {
			o := d.put("g.a", "x", 0, 0)
			d.put("g.b", "y", 200, 6)
			d.op(Op{Kind: Put, Name: "g.a", Value: "x", First: o.From}, 200, 5)
		}},
		{"a put sent again and done twice", Order, func(d *day) { d.put("g.a", "x", 200, 5); d.put("g.a", "x", 200, 6) }},
		{"put over a later one", Order, func(d *day) {
			d.put("g.a", "x", 200, 5)
			d.put("g.a", "y", 200, 6)
			d.op(Op{Kind: Put, Name: "g.a", Value: "z", Cond: true, If: 5}, 200, 7)
		}},
		{"an old read", Stale, func(d *day) { d.put("g.a", "x", 200, 5); d.put("g.a", "y", 200, 6); d.get("g.a", "x", 5) }},
		{"absent though put", Stale, func(d *day) { d.put("g.a", "x", 200, 5); d.op(Op{Kind: Get, Name: "g.a"}, 404, 0) }},
		{"gone after the fault", Lost, func(d *day) {
			d.put("g.a", "x", 200, 5)
			d.Closing()
			pass(1)
			d.op(Op{Kind: Get, Name: "g.a"}, 404, 0)
		}},
		{"a read of one without an answer", "", func(d *day) { d.put("g.a", "x", 0, 0); d.get("g.a", "x", 5) }},
		{"a value of nobody", Mixed, func(d *day) { d.get("g.a", "q", 5) }},
		{"a value under two revisions", Mixed, func(d *day) { d.put("g.a", "x", 200, 5); d.get("g.a", "x", 6) }},
		{"a 412 with another's revision", Mixed, func(d *day) { d.put("g.a", "x", 200, 5); d.put("g.b", "y", 412, 5) }},
		{"a 412 with its own", "", func(d *day) { d.put("g.a", "x", 200, 5); d.put("g.a", "y", 412, 5) }},
		{"turned away and there", Refused, func(d *day) { d.put("g.a", "x", 503, 0); d.get("g.a", "x", 5) }},
		{"a watch that falls", Order, func(d *day) { d.put("g.a", "x", 200, 5); watch(d, 4, 6, Change{"g.a", "x", 5}, Change{"g.a", "x", 5}) }},
		{"a watch that skips", Order, func(d *day) {
			d.put("g.a", "x", 200, 5)
			d.put("g.a", "y", 200, 6)
			watch(d, 4, 6, Change{"g.a", "y", 6})
		}},
		{"a watch that begins", "", func(d *day) { d.put("g.a", "x", 200, 5); watch(d, 0, 5); watch(d, 5, 5) }},
		{"a watch that is whole", "", func(d *day) { d.put("g.a", "x", 200, 5); watch(d, 4, 5, Change{"g.a", "x", 5}) }},
		{"history gone too soon", Lost, func(d *day) {
			watch(d, 0, 5)
			pass(19 * time.Second)
			d.op(Op{Kind: Watch, Name: "g.", After: 5}, 410, 0)
		}},
		{"history gone in time", "", func(d *day) {
			watch(d, 0, 5)
			pass(21 * time.Second)
			d.op(Op{Kind: Watch, Name: "g.", After: 5}, 410, 0)
		}},
		{"nothing came at the end", Lost, func(d *day) { d.op(Op{Kind: Number, Name: "n", Final: true}, 503, 0) }},
	}
}

// budgets has too many repeats in a window, calls of repeated runs among them,
// and a service that does not come back.
func budgets() []breach {
	again := func(n int) func(d *day) {
		return func(d *day) {
			for range n {
				t := d.ask()
				t.Repeat = true
				d.run(t, d.k)
				d.give(t, d.run(t, d.k))
			}
		}
	}
	nested := func(repeat bool) func(d *day) {
		return func(d *day) {
			for range 80 {
				up := d.ask()
				up.Repeat = true
				v := d.run(up, d.k)
				if repeat {
					v = d.run(up, d.k)
				}
				// Its calls go to the other service.
				d.n++
				t := d.ask()
				t.By = v
				t.URI = "/b/y"
				d.give(t, d.run(t, d.l))
				d.give(up, v)
			}
		}
	}
	both := func(do func(*day), wide float64) func(*day) {
		return func(d *day) {
			d.docs[0].Paths = append(d.docs[0].Paths, Path{Host: "h.example", Prefix: "/b/", Services: map[string]int{"u": 1}})
			// Only the called service's window is looked at here.
			d.B.Allow = wide
			do(d)
		}
	}
	return []breach{
		{"repeats over the window", Budget, again(80)},
		{"repeats within it", "", again(70)},
		{"calls of runs", "", both(nested(false), 60)},
		{"calls of repeated runs", Budget, both(nested(true), 70)},
		{"not back", Recover, func(d *day) {
			d.Closing()
			pass(time.Second)
			d.Back()
			pass(16 * time.Second)
			for range 5 {
				d.own(d.ask(), 503)
			}
		}},
		{"back", "", func(d *day) { d.Closing(); d.Back(); pass(16 * time.Second); d.whole() }},
	}
}
