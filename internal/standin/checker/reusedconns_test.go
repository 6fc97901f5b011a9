package checker

// reusedConnScenarios has requests on reused connections that are forwarded and then cut off.
func reusedConnScenarios() []scenarioCase {
	// cutOnReused has the given number of such requests, each modified by change.
	cutOnReused := func(name, rule string, count int, change func(attempt *Attempt, arrival *Arrival)) scenarioCase {
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
		cutOnReused("requests on reused connections cut off", Lost, 4, func(*Attempt, *Arrival) {}),
		cutOnReused("few requests on reused connections cut off", "", 3, func(*Attempt, *Arrival) {}),
		cutOnReused("requests on reused connections cut off by their worker", "", 4, func(_ *Attempt, arrival *Arrival) { arrival.WorkerFailed = true }),
		cutOnReused("requests on new connections cut off", "", 4, func(attempt *Attempt, _ *Arrival) { attempt.ReusedConn = false }),
	}
}
