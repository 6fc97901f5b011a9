package checker

import "time"

// promise tells that a status says: not run, and never will be.
func promise(code int) bool { return code == 408 || code == 421 || code == 429 || code == 503 }

// own tells that an answer was made by the mesh: no worker gave its status.
func (t *Try) own() bool {
	for _, v := range t.Visits {
		if v.Status == t.Got.Status && v.Stamp == t.Got.Stamp {
			return false
		}
	}
	return t.Got.Status != 0
}

func (t *Try) runs() (n int) {
	for _, v := range t.Visits {
		if v.Ran() {
			n++
		}
	}
	return n
}

// answers checks every answer against what the workers gave: MIXED, REFUSED.
func (w *Witness) answers() {
	whose := map[string]*Visit{}
	for _, v := range w.visits {
		if v.Stamp != "" {
			whose[v.Stamp] = v
		}
	}
	for _, t := range w.order {
		g := t.Got
		if g.Status == 0 && !g.Broken {
			continue
		}
		broke := false
		for _, v := range t.Visits {
			broke = broke || v.Broke
		}
		if g.Broken && !broke {
			w.blame(Mixed, "%s at %s: no answer in the protocol: %s", t.ID, t.Front, g.Why)
		}
		if g.ID != "" && g.ID != t.ID {
			w.blame(Mixed, "%s at %s got the answer of %s", t.ID, t.Front, g.ID)
		}
		v := whose[g.Stamp]
		if v != nil && v.Try != t {
			w.blame(Mixed, "%s at %s got a stamp of another", t.ID, t.Front)
		}
		if g.Status/100 == 2 && g.Whole {
			switch {
			case v == nil:
				w.blame(Mixed, "%s at %s: a success without a worker's stamp", t.ID, t.Front)
			case v.Status != g.Status:
				w.blame(Mixed, "%s at %s: a success, the worker answered %d", t.ID, t.Front, v.Status)
			case v.Gave != g.Body:
				w.blame(Mixed, "%s at %s: %d bytes, the worker's body has %d", t.ID, t.Front, g.Body.Size, v.Gave.Size)
			}
		}
		if g.Status/100 != 2 && v != nil && v.Try == t && v.Status != g.Status {
			w.blame(Mixed, "%s at %s: %d with a worker's stamp, the worker answered %d", t.ID, t.Front, g.Status, v.Status)
		}
		// A repeatable one may have run elsewhere; the others never.
		if promise(g.Status) && !t.Repeat && t.runs() > 0 {
			w.blame(Refused, "%s at %s got %d and ran at %s", t.ID, t.Front, g.Status, t.ran().Worker.Name)
		}
	}
}

func (t *Try) ran() *Visit {
	for _, v := range t.Visits {
		if v.Ran() {
			return v
		}
	}
	return nil
}

// unasked checks every run against what was sent: UNASKED, TWICE, ROUTE.
func (w *Witness) unasked() {
	for _, v := range w.visits {
		if !v.Ran() {
			continue
		}
		t := v.Try
		if t == nil {
			w.blame(Unasked, "%s ran %s %s at %s, sent by nobody", v.Worker.Name, v.Method, v.URI, stamp(v.At))
			continue
		}
		if v.Method != t.Method || v.URI != t.URI || v.Body != t.Body {
			w.blame(Unasked, "%s was sent as %s %s with %d bytes, ran as %s %s with %d", t.ID, t.Method, t.URI, t.Body.Size, v.Method, v.URI, v.Body.Size)
		}
		if want := w.serves[t.Front]; v.From != want {
			w.blame(Unasked, "%s began beside %s, its run names %q", t.ID, want, v.From)
		}
		if !w.ever(t, v.Worker.Service) {
			w.blame(Route, "%s (%s%s) ran at %s", t.ID, t.Host, t.URI, v.Worker.Service)
		}
		if !t.Repeat && t.runs() > 1 {
			w.blame(Twice, "%s ran %d times", t.ID, t.runs())
		}
	}
}

// deniedOutOfTouch is how many proper ones machines out of touch may turn away in a
// whole day, for want of a path or a right.
const deniedOutOfTouch = 10

// denied counts the mesh's own 3xx and 4xx to proper ones. Of machines out of touch a
// 401, 403 or 404 counts for what all documents of the day allow.
func (w *Witness) denied() {
	n, out := 0, 0
	var last []*Try
	for _, t := range w.order {
		s := t.Got.Status
		if s/100 != 3 && s/100 != 4 || promise(s) || !t.own() {
			continue
		}
		switch {
		case w.Touch.through(t.Front, t.From, t.End):
			if !w.proper(t) {
				continue
			}
		case s != 401 && s != 403 && s != 404 || !w.alwaysAllowed(t):
			continue
		default:
			out++
		}
		n++
		last = append(last, t)
	}
	if float64(n) > 5+float64(len(w.order))/500 || out > deniedOutOfTouch {
		for _, t := range last {
			w.blame(Denied, "%s (%s%s) at %s got %d at %s: %s", t.ID, t.Host, t.URI, t.Front, t.Got.Status, stamp(t.End), t.Got.Why)
		}
	}
}

// alwaysAllowed tells that each document of the day allows a try.
func (w *Witness) alwaysAllowed(t *Try) bool {
	n := 0
	for _, d := range w.docs {
		if d.Broken == "" && d.Match(t.Host, t.URI) == nil {
			return false
		}
		n++
	}
	return n > 0
}

// proper tells that every document that may be in force allows a try.
func (w *Witness) proper(t *Try) bool {
	low := w.newest(t.From.Add(-w.B.Change))
	n := 0
	for _, d := range w.docs {
		if d.may(t.End) && d.Number >= low {
			n++
			if d.Match(t.Host, t.URI) == nil {
				return false
			}
		}
	}
	return n > 0
}

// Verdict works out every count of the day; the notes are of the first few of
// each rule.
func (w *Witness) Verdict() (map[string]int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, check := range []func(){w.answers, w.unasked, w.denied, w.drains, w.unready, w.gone, w.broken, w.keptCuts, w.held, w.handed, w.oldDocs, w.stepsBack, w.readBacks, w.added, w.splits,
		w.budget, w.beyondTries, w.recovers, w.locks, w.orders, w.keys, w.watches, w.acks} {
		check()
	}
	return w.bad, w.notes
}

// Tally counts how the tries ended, for the report.
func (w *Witness) Tally() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{"tries": len(w.order)}
	for _, t := range w.order {
		switch {
		case t.Got.Status == 0 && t.Got.GaveUp:
			out["given up"]++
		case t.Got.Status == 0:
			out["no answer"]++
		default:
			out[code(t.Got.Status)]++
		}
	}
	for _, v := range w.visits {
		if v.Ran() {
			out["runs"]++
		} else {
			out["declined"]++
		}
	}
	return out
}

func code(n int) string {
	return string([]byte{byte('0' + n/100), byte('0' + n/10%10), byte('0' + n%10)})
}

// Served counts the jobs of a kind, or of all, that were owed and that were
// served, of those begun in a time. Nothing is owed where the client left early.
func (w *Witness) Served(kind string, from, to time.Time) (served, owed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served(func(t *Try) bool { return (kind == "" || t.Kind == kind) && !t.From.Before(from) && t.From.Before(to) })
}

func (w *Witness) served(of func(*Try) bool) (served, owed int) {
	done := map[string]bool{}
	for _, t := range w.order {
		if t.Probe || t.By != nil || !of(t) {
			continue
		}
		good := t.Got.Status/100 == 2 && t.Got.Whole
		if !t.Early || good {
			done[t.Job] = done[t.Job] || good
		}
	}
	for _, good := range done {
		if good {
			served++
		}
	}
	return served, len(done)
}
