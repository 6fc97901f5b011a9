package checker

import "time"

// op makes a call that takes a millisecond.
func (d *run) op(op Op, code int, number uint64) *Op {
	op.Start = time.Now()
	wait(time.Millisecond)
	op.End, op.Status, op.Number = time.Now(), code, number
	d.RecordCall(&op)
	wait(time.Millisecond)
	return &op
}

func (d *run) put(key, value string, code int, revision uint64) *Op {
	return d.op(Op{Kind: Put, Name: key, Value: value}, code, revision)
}

func (d *run) get(key, value string, revision uint64) {
	d.op(Op{Kind: Get, Name: key, Value: value}, 200, revision)
}

func (d *run) hold(owner string, fence uint64, duration time.Duration) *LockHold {
	hold := &LockHold{Name: "l", Owner: owner, Fence: fence, From: time.Now(), Until: time.Now().Add(duration)}
	d.RecordHold(hold)
	return hold
}

// coordinationScenarios breaks what is promised of locks, numbers and keys.
func coordinationScenarios() []scenarioCase {
	take := func(r *run, owner string, fence uint64) { r.op(Op{Kind: Acquire, Name: "l", Owner: owner}, 200, fence) }
	watch := func(r *run, after, revision uint64, changes ...Change) {
		r.op(Op{Kind: Watch, Name: "g.", After: after, Changes: changes}, 200, revision)
	}
	return []scenarioCase{
		{"two holders", One, func(r *run) { r.hold("a", 1, time.Second); wait(time.Millisecond); r.hold("b", 2, time.Second) }},
		{"one after the other", "", func(r *run) { r.hold("a", 1, time.Second); wait(time.Second); r.hold("b", 2, time.Second) }},
		{"the same one again", "", func(r *run) { r.hold("a", 1, time.Second); r.hold("a", 1, 2*time.Second) }},
		{"a fence that fell", One, func(r *run) { take(r, "a", 5); take(r, "b", 4) }},
		{"a fence for two", One, func(r *run) { take(r, "a", 5); take(r, "b", 5) }},
		{"a fence got again", "", func(r *run) { take(r, "a", 5); take(r, "a", 5); take(r, "b", 6) }},
		{"a number twice", Order, func(r *run) { r.op(Op{Kind: Number, Name: "n"}, 200, 5); r.op(Op{Kind: Number, Name: "n"}, 200, 5) }},
		{"a number that fell", Order, func(r *run) { r.op(Op{Kind: Number, Name: "n"}, 200, 5); r.op(Op{Kind: Number, Name: "n"}, 200, 4) }},
		{"numbers of two names", "", func(r *run) { r.op(Op{Kind: Number, Name: "n"}, 200, 5); r.op(Op{Kind: Number, Name: "m"}, 200, 4) }},
		{"a revision twice", Order, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.b", "y", 200, 5) }},
		{"a revision that fell", Order, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.b", "y", 200, 4) }},
		{"a put sent again", "", func(r *run) {
			op := r.put("g.a", "x", 0, 0)
			r.put("g.b", "y", 200, 6)
			r.op(Op{Kind: Put, Name: "g.a", Value: "x", FirstSentAt: op.Start}, 200, 5)
		}},
		{"a put sent again and done twice", Order, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.a", "x", 200, 6) }},
		{"put over a later one", Order, func(r *run) {
			r.put("g.a", "x", 200, 5)
			r.put("g.a", "y", 200, 6)
			r.op(Op{Kind: Put, Name: "g.a", Value: "z", Conditional: true, IfRevision: 5}, 200, 7)
		}},
		{"an old read", Stale, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.a", "y", 200, 6); r.get("g.a", "x", 5) }},
		{"absent though put", Stale, func(r *run) { r.put("g.a", "x", 200, 5); r.op(Op{Kind: Get, Name: "g.a"}, 404, 0) }},
		{"gone after the fault", Lost, func(r *run) {
			r.put("g.a", "x", 200, 5)
			r.Closing()
			wait(1)
			r.op(Op{Kind: Get, Name: "g.a"}, 404, 0)
		}},
		{"a read of one without an answer", "", func(r *run) { r.put("g.a", "x", 0, 0); r.get("g.a", "x", 5) }},
		{"a value of nobody", Mixed, func(r *run) { r.get("g.a", "q", 5) }},
		{"a value under two revisions", Mixed, func(r *run) { r.put("g.a", "x", 200, 5); r.get("g.a", "x", 6) }},
		{"a 412 with another's revision", Mixed, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.b", "y", 412, 5) }},
		{"a 412 with its own", "", func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.a", "y", 412, 5) }},
		{"turned away and there", Refused, func(r *run) { r.put("g.a", "x", 503, 0); r.get("g.a", "x", 5) }},
		{"a watch that falls", Order, func(r *run) { r.put("g.a", "x", 200, 5); watch(r, 4, 6, Change{"g.a", "x", 5}, Change{"g.a", "x", 5}) }},
		{"a watch that skips", Order, func(r *run) {
			r.put("g.a", "x", 200, 5)
			r.put("g.a", "y", 200, 6)
			watch(r, 4, 6, Change{"g.a", "y", 6})
		}},
		{"a watch that begins", "", func(r *run) { r.put("g.a", "x", 200, 5); watch(r, 0, 5); watch(r, 5, 5) }},
		{"a watch that is whole", "", func(r *run) { r.put("g.a", "x", 200, 5); watch(r, 4, 5, Change{"g.a", "x", 5}) }},
		{"history gone too soon", Lost, func(r *run) {
			watch(r, 0, 5)
			wait(19 * time.Second)
			r.op(Op{Kind: Watch, Name: "g.", After: 5}, 410, 0)
		}},
		{"history gone in time", "", func(r *run) {
			watch(r, 0, 5)
			wait(21 * time.Second)
			r.op(Op{Kind: Watch, Name: "g.", After: 5}, 410, 0)
		}},
		{"nothing came at the end", Lost, func(r *run) { r.op(Op{Kind: Number, Name: "n", Final: true}, 503, 0) }},
	}
}

// budgetScenarios has too many repeats in a window, calls of repeated runs among them,
// and a service that does not come back.
func budgetScenarios() []scenarioCase {
	retried := func(count int) func(r *run) {
		return func(r *run) {
			for range count {
				attempt := r.try()
				attempt.Retryable = true
				r.exec(attempt, r.w1)
				r.reply(attempt, r.exec(attempt, r.w1))
			}
		}
	}
	nested := func(repeat bool) func(r *run) {
		return func(r *run) {
			for range 80 {
				parent := r.try()
				parent.Retryable = true
				arrival := r.exec(parent, r.w1)
				if repeat {
					arrival = r.exec(parent, r.w1)
				}
				// Its calls go to the other service.
				r.sequence++
				attempt := r.try()
				attempt.Parent = arrival
				attempt.URI = "/b/y"
				r.reply(attempt, r.exec(attempt, r.w2))
				r.reply(parent, arrival)
			}
		}
	}
	withRoute := func(act func(*run), allowance float64) func(*run) {
		return func(r *run) {
			r.documents[0].Routes = append(r.documents[0].Routes, RouteSpec{Host: "h.example", Prefix: "/b/", Weights: map[string]int{"u": 1}})
			// Only the called service's window is looked at here.
			r.B.Allow = allowance
			act(r)
		}
	}
	return []scenarioCase{
		{"repeats over the window", Budget, retried(80)},
		{"repeats within it", "", retried(70)},
		{"calls of runs", "", withRoute(nested(false), 60)},
		{"calls of repeated runs", Budget, withRoute(nested(true), 70)},
		{"not back", Recover, func(r *run) {
			r.Closing()
			wait(time.Second)
			r.Back()
			wait(16 * time.Second)
			for range 5 {
				r.fail(r.try(), 503)
			}
		}},
		{"back", "", func(r *run) { r.Closing(); r.Back(); wait(16 * time.Second); r.serve() }},
	}
}
