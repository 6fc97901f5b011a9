package checker

// beyondTriesAtMost is how many tries of clients may run on more workers than their
// path's tries, in a whole day.
const beyondTriesAtMost = 3

// beyondTries: no try runs on more workers than its path allows.
func (w *Witness) beyondTries() {
	n := 0
	var last *Try
	for _, t := range w.order {
		if most := w.mostTries(t); most > 0 && t.workers() > most {
			n++
			last = t
		}
	}
	if n > beyondTriesAtMost {
		w.blame(Budget, "%d tries ran on more workers than their paths allow, %s at %s on %d", n, last.ID, last.Front, last.workers())
	}
}

// workers counts those that a try ran on, but for those that ended or broke off.
func (t *Try) workers() int {
	all := map[*Worker]bool{}
	for _, v := range t.Visits {
		if v.Ran() && !v.Broke {
			all[v.Worker] = true
		}
	}
	return len(all)
}

// mostTries is the largest number of workers for a try's path in any document that may
// have been in force; 0 when some document tells none.
func (w *Witness) mostTries(t *Try) (most int) {
	low := w.newest(t.From.Add(-w.B.Change - w.B.Stretch))
	for _, d := range w.docs {
		if p := d.Match(t.Host, t.URI); p != nil && d.Number >= low && d.may(t.End) {
			if p.Tries == 0 {
				return 0
			}
			most = max(most, p.Tries)
		}
	}
	return most
}
