package checker

import "time"

// What nodes that were told to end may still count as: ready, so long after the order,
// and so many of them.
const (
	unreadyWithin  = 4 * time.Second
	stillReadyPart = 4 // one over it
	stillReadyMost = 1
	missesUntilOut = 2 // looks in a row that did not find a node ready
)

// look is one question to a node whether it is ready.
type look struct {
	at    time.Time
	ready bool
}

// Looked notes that the platform asked a machine's node whether it is ready.
func (w *Witness) Looked(machine string, ready bool) {
	w.mu.Lock()
	w.looks[machine] = append(w.looks[machine], look{time.Now(), ready})
	w.mu.Unlock()
}

// countsReady tells whether the platform took a machine for ready at a time.
func (w *Witness) countsReady(machine string, at time.Time) bool {
	misses := 0
	for _, l := range w.looks[machine] {
		if l.at.After(at) {
			break
		}
		misses++
		if l.ready {
			misses = 0
		}
	}
	return misses < missesUntilOut
}

// startedBetween tells whether a machine's processes started afresh in a time.
func (w *Witness) startedBetween(machine string, from, to time.Time) bool {
	for _, at := range w.starts[machine] {
		if at.After(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// unready: nodes that are told to end are soon taken for ready no more.
func (w *Witness) unready() {
	were, still := 0, 0
	last := ""
	for _, p := range w.plans {
		until := p.from.Add(unreadyWithin)
		if p.hup || len(w.looks[p.machine]) == 0 || !w.countsReady(p.machine, p.from) || !w.Touch.calm(p.from.Add(-w.B.Touch), until) {
			continue
		}
		were++
		if w.countsReady(p.machine, until) && !w.startedBetween(p.machine, p.from, until) {
			still++
			last = p.machine
		}
	}
	if still > stillReadyMost && still*stillReadyPart > were {
		w.blame(Drain, "%d of %d nodes that were told to end still counted as ready %v later, %s among them", still, were, unreadyWithin, last)
	}
}
