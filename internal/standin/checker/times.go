package checker

import "time"

// How late a final answer, and how much too long the time handed to a worker may be.
const timeSlack = 500 * time.Millisecond

// What a day may hold of each before it is a breach: so many, and such a part of
// those that were at risk.
const (
	heldAtLeast    = 8
	heldPart       = 4 // one over it
	handedMoreThan = 20
	handedPart     = 5 // one over it
)

// held: requests that last longer than their path's time have a final answer soon
// after it, at machines in touch.
func (w *Witness) held() {
	late, all := 0, 0
	var last *Try
	for _, t := range w.order {
		most, ok := w.longestTime(t)
		if !ok || t.Left <= most+timeSlack || t.End.IsZero() || t.End.Sub(t.From) <= most || !w.Touch.through(t.Front, t.From, t.End) {
			continue
		}
		all++
		if t.End.Sub(t.From) > most+timeSlack {
			late++
			last = t
		}
	}
	if late >= heldAtLeast && late*heldPart > all {
		w.blame(Config, "%d of %d requests that lasted longer than their path's time had no final answer %v after it, %s at %s among them", late, all, timeSlack, last.ID, last.Front)
	}
}

// longestTime is the longest time of a try's path in any document that may have been
// in force while it waited.
func (w *Witness) longestTime(t *Try) (most time.Duration, ok bool) {
	low := w.newest(t.From.Add(-w.B.Change - w.B.Stretch))
	for _, d := range w.docs {
		if p := d.Match(t.Host, t.URI); p != nil && d.Number >= low && d.may(t.End) && p.Left > 0 {
			most, ok = max(most, p.Left), true
		}
	}
	return most, ok
}

// handed: workers are handed no more time than is left.
func (w *Witness) handed() {
	over, all := 0, 0
	var last *Visit
	for _, v := range w.visits {
		t := v.Try
		if t == nil || t.Probe || !w.Touch.through(t.Front, t.From, v.At) || !w.Touch.through(v.Worker.Machine, t.From, v.At) {
			continue
		}
		all++
		if v.Given == 0 || v.Given > t.Left-v.At.Sub(t.From)+timeSlack {
			over++
			last = v
		}
	}
	if over > handedMoreThan && over*handedPart > all {
		w.blame(Budget, "%d of %d arrivals had more time than was left, %s at %s %v among them", over, all, last.Try.ID, last.Worker.Name, last.Given)
	}
}
