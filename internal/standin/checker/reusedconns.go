package checker

// maxReusedConnCuts is how many requests of kept connections may be passed on to a
// worker and end with their connections, in a whole day.
const maxReusedConnCuts = 3

// checkReusedConns: a machine in touch does not end kept connections without an answer to
// what it has passed on to a sound worker.
func (w *Witness) checkReusedConns() {
	count := 0
	var example *Attempt
	for _, attempt := range w.attemptOrder {
		if _, passed, isCut := w.cutOff(attempt); attempt.ReusedConn && isCut && passed && w.Touch.connected(attempt.Ingress, attempt.Start, attempt.End) {
			count++
			example = attempt
		}
	}
	if count > maxReusedConnCuts {
		w.recordBreach(Lost, "%d requests of kept connections were passed on and ended with their connections, %s at %s among them", count, example.ID, example.Ingress)
	}
}
