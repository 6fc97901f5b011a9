package checker

import "time"

// op records a call that takes a millisecond.
func (r *run) op(op Op, code int, number uint64) *Op {
	op.Start = time.Now()
	wait(time.Millisecond)
	op.End, op.Status, op.Number = time.Now(), code, number
	r.RecordCall(&op)
	wait(time.Millisecond)
	return &op
}

func (r *run) put(key, value string, code int, revision uint64) *Op {
	return r.op(Op{Kind: Put, Name: key, Value: value}, code, revision)
}

func (r *run) get(key, value string, revision uint64) {
	r.op(Op{Kind: Get, Name: key, Value: value}, 200, revision)
}

func (r *run) hold(owner string, fence uint64, duration time.Duration) *LockHold {
	hold := &LockHold{Name: "l", Owner: owner, Fence: fence, From: time.Now(), Until: time.Now().Add(duration)}
	r.RecordHold(hold)
	return hold
}

// coordinationScenarios breaks the guarantees for locks, numbers and keys;
// the cases without a rule stay just within them.
func coordinationScenarios() []scenarioCase {
	take := func(r *run, owner string, fence uint64) { r.op(Op{Kind: Acquire, Name: "l", Owner: owner}, 200, fence) }
	watch := func(r *run, after, revision uint64, changes ...Change) {
		r.op(Op{Kind: Watch, Name: "g.", After: after, Changes: changes}, 200, revision)
	}
	return []scenarioCase{
		{"a lock with two holders", One, func(r *run) { r.hold("a", 1, time.Second); wait(time.Millisecond); r.hold("b", 2, time.Second) }},
		{"two holders one after the other", "", func(r *run) { r.hold("a", 1, time.Second); wait(time.Second); r.hold("b", 2, time.Second) }},
		{"the same holder again", "", func(r *run) { r.hold("a", 1, time.Second); r.hold("a", 1, 2*time.Second) }},
		{"a lower fence", One, func(r *run) { take(r, "a", 5); take(r, "b", 4) }},
		{"one fence for two owners", One, func(r *run) { take(r, "a", 5); take(r, "b", 5) }},
		{"the same fence for the same owner", "", func(r *run) { take(r, "a", 5); take(r, "a", 5); take(r, "b", 6) }},
		{"the same number twice", Order, func(r *run) { r.op(Op{Kind: Number, Name: "n"}, 200, 5); r.op(Op{Kind: Number, Name: "n"}, 200, 5) }},
		{"a lower number", Order, func(r *run) { r.op(Op{Kind: Number, Name: "n"}, 200, 5); r.op(Op{Kind: Number, Name: "n"}, 200, 4) }},
		{"numbers of different names", "", func(r *run) { r.op(Op{Kind: Number, Name: "n"}, 200, 5); r.op(Op{Kind: Number, Name: "m"}, 200, 4) }},
		{"the same revision twice", Order, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.b", "y", 200, 5) }},
		{"a lower revision", Order, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.b", "y", 200, 4) }},
		{"a put that is sent again", "", func(r *run) {
			op := r.put("g.a", "x", 0, 0)
			r.put("g.b", "y", 200, 6)
			r.op(Op{Kind: Put, Name: "g.a", Value: "x", FirstSentAt: op.Start}, 200, 5)
		}},
		{"a put that is sent again and applied twice", Order, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.a", "x", 200, 6) }},
		{"a conditional put over a later revision", Order, func(r *run) {
			r.put("g.a", "x", 200, 5)
			r.put("g.a", "y", 200, 6)
			r.op(Op{Kind: Put, Name: "g.a", Value: "z", Conditional: true, IfRevision: 5}, 200, 7)
		}},
		{"a stale read", Stale, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.a", "y", 200, 6); r.get("g.a", "x", 5) }},
		{"an acknowledged key is absent", Stale, func(r *run) { r.put("g.a", "x", 200, 5); r.op(Op{Kind: Get, Name: "g.a"}, 404, 0) }},
		{"an acknowledged key is absent after the final fault", Lost, func(r *run) {
			r.put("g.a", "x", 200, 5)
			r.FinalFaultStarted()
			wait(1)
			r.op(Op{Kind: Get, Name: "g.a"}, 404, 0)
		}},
		{"a read of a put without an answer", "", func(r *run) { r.put("g.a", "x", 0, 0); r.get("g.a", "x", 5) }},
		{"a value that nobody put", Mixed, func(r *run) { r.get("g.a", "q", 5) }},
		{"a value with two revisions", Mixed, func(r *run) { r.put("g.a", "x", 200, 5); r.get("g.a", "x", 6) }},
		{"a 412 with another key's revision", Mixed, func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.b", "y", 412, 5) }},
		{"a 412 with the key's own revision", "", func(r *run) { r.put("g.a", "x", 200, 5); r.put("g.a", "y", 412, 5) }},
		{"a rejected put took effect", Refused, func(r *run) { r.put("g.a", "x", 503, 0); r.get("g.a", "x", 5) }},
		{"a watch repeats a revision", Order, func(r *run) { r.put("g.a", "x", 200, 5); watch(r, 4, 6, Change{"g.a", "x", 5}, Change{"g.a", "x", 5}) }},
		{"a watch skips a revision", Order, func(r *run) {
			r.put("g.a", "x", 200, 5)
			r.put("g.a", "y", 200, 6)
			watch(r, 4, 6, Change{"g.a", "y", 6})
		}},
		{"a watch starts at the current revision", "", func(r *run) { r.put("g.a", "x", 200, 5); watch(r, 0, 5); watch(r, 5, 5) }},
		{"a watch returns every change", "", func(r *run) { r.put("g.a", "x", 200, 5); watch(r, 4, 5, Change{"g.a", "x", 5}) }},
		{"a watch gets 410 too early", Lost, func(r *run) {
			watch(r, 0, 5)
			wait(19 * time.Second)
			r.op(Op{Kind: Watch, Name: "g.", After: 5}, 410, 0)
		}},
		{"a watch gets 410 after the history bound", "", func(r *run) {
			watch(r, 0, 5)
			wait(21 * time.Second)
			r.op(Op{Kind: Watch, Name: "g.", After: 5}, 410, 0)
		}},
		{"no definite answer at the end of the test run", Lost, func(r *run) { r.op(Op{Kind: Number, Name: "n", Final: true}, 503, 0) }},
	}
}

// budgetScenarios has too many retries in a window, also by nested requests of retried
// executions, and a service that does not recover after the final fault.
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
				// Its nested requests go to the other service.
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
			// Only the window of the nested requests' service matters here.
			r.Bounds.RetryAllowance = allowance
			act(r)
		}
	}
	return []scenarioCase{
		{"more retries than allowed in a window", Budget, retried(80)},
		{"as many retries as allowed", "", retried(70)},
		{"nested requests of first executions", "", withRoute(nested(false), 60)},
		{"nested requests of retried executions", Budget, withRoute(nested(true), 70)},
		{"not back after the final fault", Recover, func(r *run) {
			r.FinalFaultStarted()
			wait(time.Second)
			r.FinalFaultEnded()
			wait(16 * time.Second)
			for range 5 {
				r.fail(r.try(), 503)
			}
		}},
		{"back", "", func(r *run) { r.FinalFaultStarted(); r.FinalFaultEnded(); wait(16 * time.Second); r.serve() }},
	}
}
