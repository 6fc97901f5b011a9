package checker

// reusedConnScenarios has requests on reused connections that are forwarded and then cut off.
func reusedConnScenarios() []scenarioCase {
	// kept has the given number of such requests, each changed by change.
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
		kept("requests on reused connections cut off", Lost, 4, func(*Attempt, *Arrival) {}),
		kept("few requests on reused connections cut off", "", 3, func(*Attempt, *Arrival) {}),
		kept("requests on reused connections cut off by their worker", "", 4, func(_ *Attempt, arrival *Arrival) { arrival.WorkerFailed = true }),
		kept("requests on new connections cut off", "", 4, func(attempt *Attempt, _ *Arrival) { attempt.ReusedConn = false }),
	}
}
