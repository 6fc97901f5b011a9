package checker

// maxReusedConnCuts is how many requests on reused connections may be forwarded to a worker
// and then lose their connection without an answer, during a whole test run.
const maxReusedConnCuts = 3

// checkReusedConns checks that connected machines do not close reused connections without
// answering a request that they forwarded to a worker that did not fail (LOST).
func (w *Recorder) checkReusedConns() {
	count := 0
	var example *Attempt
	for _, attempt := range w.attemptOrder {
		if _, forwarded, isCut := w.cutOff(attempt); attempt.ReusedConn && isCut && forwarded && w.Faults.connected(attempt.Ingress, attempt.Start, attempt.End) {
			count++
			example = attempt
		}
	}
	if count > maxReusedConnCuts {
		w.recordBreach(Lost, "%d requests of kept connections were passed on and ended with their connections, %s at %s among them", count, example.ID, example.Ingress)
	}
}
