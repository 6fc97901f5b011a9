package witness

import "time"

// plan is one order to a machine that may break nothing off.
type plan struct {
	machine string
	from    time.Time
	hup     bool
}

// Term notes that a machine was told to end in order, Hup that its settings
// changed.
func (w *Witness) Term(machine string) { w.order1(machine, false) }

// Hup notes that a machine was told that its settings changed.
func (w *Witness) Hup(machine string) { w.order1(machine, true) }

func (w *Witness) order1(machine string, hup bool) {
	w.mu.Lock()
	w.cuts = append(w.cuts, plan{machine, time.Now(), hup})
	w.mu.Unlock()
}

// Leaves notes that a worker says that it is leaving, and LeaveTaken that this
// was acknowledged.
func (w *Witness) Leaves(k *Worker) {
	w.mu.Lock()
	if k.Asked.IsZero() {
		k.Asked = time.Now()
	}
	w.mu.Unlock()
}

// LeaveTaken notes by whom a worker's leave was acknowledged first.
func (w *Witness) LeaveTaken(k *Worker, by string) {
	w.mu.Lock()
	if k.Acked.IsZero() {
		k.Acked, k.By = time.Now(), by
	}
	w.mu.Unlock()
}

// drains: later than the bound after a machine acknowledged that a worker
// leaves, whether it was in touch or not, nothing is sent to it by machines in touch.
func (w *Witness) drains() {
	for _, v := range w.visits {
		k := v.Worker
		if k.Acked.IsZero() || v.Try == nil || v.Declined == 421 || !v.At.After(k.Acked.Add(w.B.Leave)) {
			continue
		}
		if w.Touch.through(v.Try.Front, v.Try.From, v.At) && w.Touch.through(k.Machine, v.Try.From, v.At) {
			w.blame(Drain, "%s reached %s %v after its leave was acknowledged by %s", v.Try.ID, k.Name, v.At.Sub(k.Acked), k.By)
		}
	}
}

// cut tells that a try's connection ended without a complete answer although a
// process had read it whole, for no reason of its worker or its time; late is
// how long after its last byte that was.
func (w *Witness) cut(t *Try) (late time.Duration, passed, yes bool) {
	g := t.Got
	if g.GaveUp || !g.Taken || t.Sent.IsZero() || t.End.IsZero() || (g.Status != 0 && g.Whole) {
		return 0, false, false
	}
	for _, v := range t.Visits {
		if v.Broke {
			return 0, false, false
		}
	}
	if !t.End.Before(w.until(t)) {
		return 0, false, false
	}
	return t.End.Sub(t.Sent), len(t.Visits) > 0, true
}

// until is the time up to which a try may be held: its client's, as it told that, or that of the
// path in any document that may have been in force.
func (w *Witness) until(t *Try) time.Time {
	least := t.Left
	if t.Told > 0 {
		least = min(least, t.Told)
	}
	low := w.newest(t.From.Add(-w.B.Change - w.B.Stretch))
	for _, d := range w.docs {
		if p := d.Match(t.Host, t.URI); p != nil && d.Number >= low && d.may(t.End) && p.Left > 0 {
			least = min(least, p.Left)
		}
	}
	return t.From.Add(least)
}

// planned tells under which order to its front a try stood when it ended.
func (w *Witness) planned(t *Try) (plan, bool) {
	for _, p := range w.cuts {
		if p.machine != t.Front {
			continue
		}
		if p.hup && t.From.Before(p.from.Add(w.B.Change)) && t.End.After(p.from) {
			return p, true
		}
		if !p.hup && t.End.After(p.from) && t.End.Before(p.from.Add(w.B.Grace+time.Second)) {
			return p, true
		}
	}
	return plan{}, false
}

// broken: planned work breaks nothing off.
func (w *Witness) broken() {
	in, out := map[string][]*Try{}, map[string]int{}
	for _, t := range w.order {
		late, passed, yes := w.cut(t)
		yes = yes && (passed || late > w.B.Slack)
		p, ok := w.planned(t)
		if ok && w.Touch.calm(t.From.Add(-w.B.Touch), t.End) {
			// An answer of the mesh's own comes to the same as a cut, so what isn't
			// counted of the one isn't counted of the other.
			long := t.longWork(p.from.Add(w.B.Grace/2), t.End)
			if yes && !long {
				w.blame(Lost, "%s at %s was cut off at %s, %v after its last byte (sent on: %v), in planned work from %s", t.ID, t.Front, stamp(t.End), late, passed, stamp(p.from))
			}
			if v := t.atWork(); !p.hup && !long && v != nil && t.own() && w.until(t).After(t.End) && !promise(t.Got.Status) {
				w.blame(Lost, "%s at %s got %d of the mesh's own at %s while %s was at work on it since %s, after the order to end of %s; it came at %s and had until %s",
					t.ID, t.Front, t.Got.Status, stamp(t.End), v.Worker.Name, stamp(v.Start), stamp(p.from), stamp(t.From), stamp(w.until(t)))
			}
			continue
		}
		if yes && w.Touch.calm(t.From.Add(-w.B.Touch), t.End) {
			if w.changing(t) {
				in[t.Front] = append(in[t.Front], t)
			} else {
				out[t.Front]++
			}
		}
	}
	// Around changes of the document no more are cut off than at other times.
	for m, list := range in {
		if len(list) > 3*out[m] {
			w.blame(Lost, "%s at %s and %d others were cut off around a change, %d at other times", list[0].ID, m, len(list)-1, out[m])
		}
	}
}

// longWork tells that a worker was still at work on a try so late in the grace
// that the end could not wait for it.
func (t *Try) longWork(from, to time.Time) bool {
	for _, v := range t.Visits {
		if v.Ran() && v.Start.Before(to) && to.After(from) && (v.End.IsZero() || !v.End.Before(from)) {
			return true
		}
	}
	return false
}

// atWork finds the worker that was at work on a try when it was answered.
func (t *Try) atWork() *Visit {
	for _, v := range t.Visits {
		if v.Ran() && !v.Broke && v.Start.Before(t.End) && (v.End.IsZero() || v.End.After(t.End)) {
			return v
		}
	}
	return nil
}

// changing tells that a try ended while a document was on its way.
func (w *Witness) changing(t *Try) bool {
	for _, d := range w.docs {
		end := d.Acked
		if end.IsZero() {
			end = d.End
		}
		if d.Broken == "" && !d.From.After(t.End) && (end.IsZero() || t.End.Before(end.Add(w.B.Change+time.Second))) {
			return true
		}
	}
	return false
}
