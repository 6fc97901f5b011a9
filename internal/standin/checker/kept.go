package checker

// keptCutsAtMost is how many requests of kept connections may be passed on to a
// worker and end with their connections, in a whole day.
const keptCutsAtMost = 3

// keptCuts: a machine in touch does not end kept connections without an answer to
// what it has passed on to a sound worker.
func (w *Witness) keptCuts() {
	n := 0
	var last *Try
	for _, t := range w.order {
		if _, passed, yes := w.cut(t); t.Kept && yes && passed && w.Touch.through(t.Front, t.From, t.End) {
			n++
			last = t
		}
	}
	if n > keptCutsAtMost {
		w.blame(Lost, "%d requests of kept connections were passed on and ended with their connections, %s at %s among them", n, last.ID, last.Front)
	}
}
