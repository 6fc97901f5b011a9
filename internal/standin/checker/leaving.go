package checker

import "time"

// A request that was sent up to sentUpTo after the order to end is excused if its
// worker was still at work in the last sixth of the grace.
const sentUpTo = 3 * time.Second

// plan is one order to a machine that may break nothing off.
type plan struct {
	machine string
	life    int // of the machine's processes
	from    time.Time
	hup     bool
}

// Term notes that a machine was told to end in order. Told again, it has the grace
// that it had.
func (w *Witness) Term(machine string) { w.addPlan(plan{machine: machine}) }

// Hup notes that a machine was told that its settings changed.
func (w *Witness) Hup(machine string) { w.addPlan(plan{machine: machine, hup: true}) }

func (w *Witness) addPlan(p plan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.from, p.life = time.Now(), w.lives[p.machine]
	for _, o := range w.plans {
		if !p.hup && !o.hup && o.machine == p.machine && o.life == p.life && p.from.Before(o.from.Add(w.B.Grace)) {
			return
		}
	}
	w.plans = append(w.plans, p)
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

// planned lists the orders to its front under which a try stood when it ended.
func (w *Witness) planned(t *Try) (out []plan) {
	for _, p := range w.plans {
		if p.machine != t.Front {
			continue
		}
		if p.hup && t.From.Before(p.from.Add(w.B.Change)) && t.End.After(p.from) {
			out = append(out, p)
		}
		if !p.hup && t.End.After(p.from) && t.End.Before(p.from.Add(w.B.Grace+time.Second)) {
			out = append(out, p)
		}
	}
	return out
}

// broken: planned work breaks nothing off.
func (w *Witness) broken() {
	in, out := map[string][]*Try{}, map[string]int{}
	for _, t := range w.order {
		late, passed, yes := w.cut(t)
		yes = yes && (passed || late > w.B.Slack)
		calm := w.Touch.calm(t.From.Add(-w.B.Touch), t.End)
		plans := w.planned(t)
		if len(plans) > 0 && calm {
			for _, p := range plans {
				w.brokenBy(t, p, yes, passed, late)
			}
			continue
		}
		if yes && calm {
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

// brokenBy judges a try that ended under an order to its front; cut tells that its
// connection ended without an answer.
func (w *Witness) brokenBy(t *Try, p plan, cut, passed bool, late time.Duration) {
	if !p.hup && w.excused(t, p) {
		return
	}
	if cut {
		w.blame(Lost, "%s at %s was cut off at %s, %v after its last byte (sent on: %v), in planned work from %s", t.ID, t.Front, stamp(t.End), late, passed, stamp(p.from))
		return
	}
	// After the order to end an answer of the mesh's own in the place of a worker's
	// comes to the same, whether the worker goes on or was broken off before.
	if v := t.givenUp(); !p.hup && v != nil && t.own() && w.until(t).After(t.End) && !w.ownerEnded(t, v) {
		w.blame(Lost, "%s at %s got %d of the mesh's own at %s, %v after the order to end, while %s was at work on it since %s; it came at %s and had until %s",
			t.ID, t.Front, t.Got.Status, stamp(t.End), t.End.Sub(p.from), v.Worker.Name, stamp(v.Start), stamp(t.From), stamp(w.until(t)))
	}
}

// excused tells that a stop could not wait for a try: its worker was still at work
// in the last sixth of the grace, and it was sent early enough. What ended before
// that time is never excused.
func (w *Witness) excused(t *Try, p plan) bool {
	last := p.from.Add(w.B.Grace * 5 / 6)
	if t.From.After(p.from.Add(sentUpTo)) || t.End.Before(last) {
		return false
	}
	for _, v := range t.Visits {
		if v.Ran() && v.Start.Before(t.End) && (v.End.IsZero() || !v.End.Before(last)) {
			return true
		}
	}
	return false
}

// ownerEnded tells the same of a try that may not be repeated, whose answer came as the
// node beside its worker ended, or up to a second after its grace: nobody else reaches
// the worker, so such a run ends with that node. Plays that were judged by users show no
// blame for it. What may be repeated is never excused so, since others could have had it.
func (w *Witness) ownerEnded(t *Try, v *Visit) bool {
	if t.Repeat || v.Worker.Machine == t.Front {
		return false
	}
	for _, p := range w.plans {
		if p.hup || p.machine != v.Worker.Machine || t.From.After(p.from.Add(sentUpTo)) {
			continue
		}
		last, end := p.from.Add(w.B.Grace*5/6), p.from.Add(w.B.Grace+time.Second)
		if !t.End.Before(last) && !t.End.After(end) && (v.End.IsZero() || !v.End.Before(last)) {
			return true
		}
	}
	return false
}

// givenUp finds the worker that was at work on a try when it was answered, or whose
// run was ended before without an answer, for no reason of its own.
func (t *Try) givenUp() *Visit {
	for _, v := range t.Visits {
		if v.Ran() && !v.Broke && v.Status == 0 && !v.End.IsZero() && v.End.Before(t.End) {
			return v
		}
	}
	return t.atWork()
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
