package checker

import "time"

// What nodes that were told to end may still count as: ready, so long after the order,
// and so many of them.
const (
	unreadyBound         = 4 * time.Second
	stillReadyDivisor    = 4 // one over it
	stillReadyTolerated  = 1
	failuresUntilUnready = 2 // looks in a row that did not find a node ready
)

// readinessProbe is one question to a node whether it is ready.
type readinessProbe struct {
	at    time.Time
	ready bool
}

// Looked notes that the platform asked a machine's node whether it is ready.
func (w *Witness) Looked(machine string, ready bool) {
	w.mu.Lock()
	w.readinessProbes[machine] = append(w.readinessProbes[machine], readinessProbe{time.Now(), ready})
	w.mu.Unlock()
}

// countedReady tells whether the platform took a machine for ready at a time.
func (w *Witness) countedReady(machine string, at time.Time) bool {
	misses := 0
	for _, probe := range w.readinessProbes[machine] {
		if probe.at.After(at) {
			break
		}
		misses++
		if probe.ready {
			misses = 0
		}
	}
	return misses < failuresUntilUnready
}

// restartedBetween tells whether a machine's processes started afresh in a time.
func (w *Witness) restartedBetween(machine string, from, to time.Time) bool {
	for _, at := range w.restarts[machine] {
		if at.After(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// checkReadiness: nodes that are told to end are soon taken for ready no more.
func (w *Witness) checkReadiness() {
	wereReady, stillReady := 0, 0
	example := ""
	for _, signal := range w.signals {
		until := signal.sentAt.Add(unreadyBound)
		if signal.reload || len(w.readinessProbes[signal.machine]) == 0 || !w.countedReady(signal.machine, signal.sentAt) || !w.Touch.calm(signal.sentAt.Add(-w.B.Touch), until) {
			continue
		}
		wereReady++
		if w.countedReady(signal.machine, until) && !w.restartedBetween(signal.machine, signal.sentAt, until) {
			stillReady++
			example = signal.machine
		}
	}
	if stillReady > stillReadyTolerated && stillReady*stillReadyDivisor > wereReady {
		w.recordBreach(Drain, "%d of %d nodes that were told to end still counted as ready %v later, %s among them", stillReady, wereReady, unreadyBound, example)
	}
}
