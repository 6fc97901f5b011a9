package checker

import "time"

// Risk counts how often each rule had something to lose on the day: a day on
// which it had nothing shows nothing.
func (w *Witness) Risk() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	last := map[string]time.Time{} // when each document was acknowledged
	for _, v := range w.visits {
		if v.Odd || v.Broke {
			out[Mixed]++
			if v.Try != nil && !v.Try.Repeat {
				// Whoever sends it again runs it twice; whoever calls it busy lies.
				out[Twice]++
				out[Refused]++
			}
		}
		if v.Again {
			out[Budget]++
		}
		if v.Ran() && v.To != "" {
			out[Unasked]++
		}
		// What goes to a worker that is about to leave, or leaves, would go on
		// doing so after the bound if nobody were told. How many come after its
		// word hangs on how quick the mesh is, and may be none.
		if k := v.Worker; !k.Asked.IsZero() && v.At.After(k.Asked.Add(-w.B.Leave)) {
			out[Drain]++
		}
	}
	for _, d := range w.docs {
		if d.Broken != "" || !d.Refused.IsZero() {
			out[Route]++
		}
		if !d.Acked.IsZero() && d.Broken == "" {
			out[Acks]++
			last[d.Raw] = d.Acked
		}
	}
	for _, t := range w.order {
		for _, at := range last {
			if t.From.After(at.Add(w.B.Change)) && t.From.Before(at.Add(2*w.B.Change)) {
				out[Config]++
				break
			}
		}
		if len(w.planned(t)) > 0 {
			out[Lost]++
		}
		if t.left() && t.Repeat && t.atWork() != nil {
			out[Gone]++
		}
		if t.Got.Status == 404 {
			out[Denied]++
		}
		if !w.shut[1].IsZero() && t.From.After(w.shut[1].Add(w.B.Return)) {
			out[Recover]++
		}
	}
	for _, o := range w.ops {
		switch {
		case o.Kind == Take && o.Code == 409:
			out[One]++
		case o.Kind == Get && o.Code == 200:
			out[Stale]++
		case o.Code == 200:
			out[Order]++
		}
	}
	return out
}
