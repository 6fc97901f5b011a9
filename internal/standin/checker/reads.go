package checker

import "time"

// readBacks: what is read at the end of a day is what was sent under its
// number, and no older than the newest acknowledged.
func (w *Witness) readBacks() {
	for _, r := range w.reads {
		if !r.Came {
			if r.Final {
				w.blame(Config, "no document came when it was read back")
			}
			continue
		}
		if low := w.newest(r.From); r.Number < low {
			rule := Config
			if !w.shut[0].IsZero() && r.From.After(w.shut[0]) {
				rule = Lost
			}
			w.blame(rule, "read back as number %d at %s, %d was acknowledged before", r.Number, stamp(r.At), low)
		}
		if !r.Same {
			w.blame(Config, "number %d was read back other than it was sent", r.Number)
		}
		for _, d := range w.docs {
			if d.Number == r.Number && d.Broken != "" && !w.sound(r.Number) {
				w.blame(Config, "number %d is in force although broken: %s", r.Number, d.Broken)
			}
		}
	}
}

// sound tells that some whole document was sent under a number.
func (w *Witness) sound(n uint64) bool {
	for _, d := range w.docs {
		if d.Number == n && d.Broken == "" {
			return true
		}
	}
	return false
}

// added: paths that came later are served as well as the first ones.
func (w *Witness) added() {
	if len(w.docs) == 0 {
		return
	}
	first := w.docs[0]
	later := map[string]bool{}
	for _, d := range w.docs {
		for _, p := range d.Paths {
			if d.Broken == "" && first.Match(p.Host, p.Prefix) == nil {
				later[p.Host+p.Prefix] = true
			}
		}
	}
	if len(later) < 20 {
		return
	}
	calm := func(t *Try) bool { return w.Touch.through(t.Front, t.From, t.End) && w.proper(t) }
	s1, n1 := w.served(func(t *Try) bool { return first.Match(t.Host, t.URI) != nil && calm(t) })
	s2, n2 := w.served(func(t *Try) bool { return first.Match(t.Host, t.URI) == nil && calm(t) })
	if n2 >= 20 && n1 > 0 && 4*s2*n1 < s1*n2 {
		w.blame(Config, "paths that came later: %d of %d served, first ones %d of %d", s2, n2, s1, n1)
	}
}

// Closing notes the closing fault, and Back that the machines are there again.
func (w *Witness) Closing() {
	w.mu.Lock()
	w.shut[0] = time.Now()
	w.mu.Unlock()
}

// Back notes that the machines are there again after the closing fault.
func (w *Witness) Back() {
	w.mu.Lock()
	w.shut[1] = time.Now()
	w.mu.Unlock()
}

// recovers: where a quarter was served before the closing fault, a quarter is
// served of what is sent later than the bound after the return.
func (w *Witness) recovers() {
	if w.shut[1].IsZero() {
		return
	}
	s1, n1 := w.served(func(t *Try) bool { return t.From.Before(w.shut[0]) })
	s2, n2 := w.served(func(t *Try) bool { return t.From.After(w.shut[1].Add(w.B.Return)) })
	if n1 > 0 && 4*s1 >= n1 && n2 > 0 && 4*s2 < n2 {
		w.blame(Recover, "%d of %d served after the return, %d of %d before the fault", s2, n2, s1, n1)
	}
}
