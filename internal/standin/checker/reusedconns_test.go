package checker

// reusedConnScenarios has requests of kept connections passed on and cut off, at any time.
func reusedConnScenarios() []scenarioCase {
	// kept has so many requests of kept connections passed on and cut off, at any time.
	kept := func(name, rule string, count int, change func(attempt *Attempt, arrival *Arrival)) scenarioCase {
		return scenarioCase{name, rule, func(r *run) {
			for range count {
				attempt := r.try()
				attempt.ReusedConn = true
				arrival := r.exec(attempt, r.w1)
				change(attempt, arrival)
				r.cut(attempt)
				r.serve()
			}
		}}
	}
	return []scenarioCase{
		kept("requests of kept connections cut off", Lost, 4, func(*Attempt, *Arrival) {}),
		kept("requests of kept connections cut off now and then", "", 3, func(*Attempt, *Arrival) {}),
		kept("their worker broke off", "", 4, func(_ *Attempt, arrival *Arrival) { arrival.WorkerFailed = true }),
		kept("on new connections", "", 4, func(attempt *Attempt, _ *Arrival) { attempt.ReusedConn = false }),
	}
}
