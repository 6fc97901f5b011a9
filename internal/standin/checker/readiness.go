package checker

import "time"

// A node may still count as ready for unreadyBound after a stop signal. More than
// stillReadyTolerated nodes that do so for longer, and more than a quarter of those that were
// stopped while ready, are a breach.
const (
	unreadyBound         = 4 * time.Second
	stillReadyDivisor    = 4
	stillReadyTolerated  = 1
	failuresUntilUnready = 2 // failed probes in a row after which the platform counts a node as not ready
)

// readinessProbe is the result of one readiness probe of a node.
type readinessProbe struct {
	at    time.Time
	ready bool
}

// ReadinessProbed records the result of a readiness probe of a machine's node by the platform.
func (w *Recorder) ReadinessProbed(machine string, ready bool) {
	w.mu.Lock()
	w.readinessProbes[machine] = append(w.readinessProbes[machine], readinessProbe{time.Now(), ready})
	w.mu.Unlock()
}

// countedReady reports whether the platform counted a machine as ready at the given time.
func (w *Recorder) countedReady(machine string, at time.Time) bool {
	failures := 0
	for _, probe := range w.readinessProbes[machine] {
		if probe.at.After(at) {
			break
		}
		failures++
		if probe.ready {
			failures = 0
		}
	}
	return failures < failuresUntilUnready
}

// restartedBetween reports whether a machine's processes restarted in (from, to].
func (w *Recorder) restartedBetween(machine string, from, to time.Time) bool {
	for _, at := range w.restarts[machine] {
		if at.After(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// checkReadiness checks that nodes soon stop counting as ready after a stop signal (DRAIN).
func (w *Recorder) checkReadiness() {
	wereReady, stillReady := 0, 0
	example := ""
	for _, signal := range w.signals {
		until := signal.sentAt.Add(unreadyBound)
		if signal.reload || len(w.readinessProbes[signal.machine]) == 0 || !w.countedReady(signal.machine, signal.sentAt) || !w.Faults.calm(signal.sentAt.Add(-w.Bounds.Connect), until) {
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
