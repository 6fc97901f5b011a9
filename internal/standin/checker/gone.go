package checker

import "time"

// stopWithin is how soon after a caller has left nothing may reach a worker for
// it any more, and no run that may be repeated may go on.
const stopWithin = 500 * time.Millisecond

// left tells that the client closed its connection while it waited.
func (t *Try) left() bool { return t.Got.GaveUp && !t.End.IsZero() }

// gone: no worker gets a request, and none goes on with a run that may be
// repeated, so long after its caller left.
func (w *Witness) gone() {
	for _, t := range w.order {
		if !t.left() {
			continue
		}
		end := t.End.Add(stopWithin)
		if !w.Touch.through(t.Front, t.From, end) {
			continue
		}
		for _, v := range t.Visits {
			if !w.Touch.through(v.Worker.Machine, t.From, end) {
				continue
			}
			switch {
			case v.At.After(end):
				w.blame(Gone, "%s reached %s %v after its caller had left at %s", t.ID, v.Worker.Name, v.At.Sub(t.End), stamp(t.End))
			case t.Repeat && v.Ran() && (v.End.IsZero() || v.End.After(end)):
				w.blame(Gone, "%s ran at %s until %s though its caller had left %s at %s", t.ID, v.Worker.Name, stamp(v.End), t.Front, stamp(t.End))
			}
		}
	}
}
