package checker

import (
	"sort"
	"time"
)

// budget slides the window over every service's repeats. A call made by a run
// that was itself a repeat counts as a repeat at the service that it calls.
func (w *Witness) budget() {
	again, asked := map[string][]time.Time{}, map[string][]time.Time{}
	for _, v := range w.visits {
		if v.Again {
			again[v.Worker.Service] = append(again[v.Worker.Service], v.At)
		}
	}
	for _, t := range w.order {
		if t.By != nil && t.By.Again {
			continue
		}
		// Of a split the one counts at which it arrived first.
		if len(t.Visits) > 0 {
			s := t.Visits[0].Worker.Service
			asked[s] = append(asked[s], t.From)
		} else if s := w.service(t); s != "" {
			asked[s] = append(asked[s], t.From)
		}
	}
	for s, list := range again {
		w.slide(s, sorted(list), sorted(asked[s]))
	}
}

// service is where a try that arrived nowhere would have gone.
func (w *Witness) service(t *Try) (name string) {
	var best *Doc
	for _, d := range w.docs {
		if d.may(t.From) && (best == nil || d.Number > best.Number) {
			best = d
		}
	}
	if best == nil {
		return ""
	}
	if p := best.Match(t.Host, t.URI); p != nil {
		for s, n := range p.Services {
			if n > p.Services[name] || n == p.Services[name] && s < name {
				name = s
			}
		}
	}
	return name
}

func sorted(l []time.Time) []time.Time {
	sort.Slice(l, func(i, j int) bool { return l[i].Before(l[j]) })
	return l
}

// between counts the times after one moment up to another.
func between(l []time.Time, from, to time.Time) int {
	after := func(at time.Time) int { return sort.Search(len(l), func(i int) bool { return l[i].After(at) }) }
	return max(after(to)-after(from), 0)
}

func (w *Witness) slide(service string, again, asked []time.Time) {
	check := func(from time.Time) {
		to, half := from.Add(w.B.Window), w.B.Window/2
		n := between(again, from, to)
		most := 0
		for _, back := range []time.Duration{0, half, 2 * half} {
			most = max(most, between(asked, from.Add(-back), to.Add(-back)))
		}
		may := w.B.Share*float64(most) + w.B.Allow
		if part := float64(n) / may; part > w.fullest {
			w.fullest, w.fullAt = part, service
		}
		if float64(n) > may {
			w.blame(Budget, "%s: %d repeats to %d requests in the window from %s", service, n, most, stamp(from))
		}
	}
	for _, t := range again {
		// Every span that ends with a repeat, and every one that begins with one.
		check(t.Add(-w.B.Window))
		check(t.Add(-1))
	}
}

// Most gives the fullest window of a service's repeats, as a part of what the
// rule allows; it is known after the verdict.
func (w *Witness) Most() (part float64, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fullest, w.fullAt
}

// acks: in calm times every whole document is acknowledged within the bound,
// and nearly every worker's word that it leaves.
func (w *Witness) acks() {
	now := time.Now()
	for _, d := range w.docs {
		end := d.Acked
		if end.IsZero() {
			end = d.End
		}
		if end.IsZero() {
			end = now
		}
		bound := w.B.Ack + time.Duration(len(d.Paths))*3*time.Millisecond
		// All in one calm stretch, which may begin after a trouble.
		for _, from := range w.Touch.starts(d.From, end) {
			if to := from.Add(bound); d.Broken == "" && end.After(to) && w.Touch.settled(from, to) && w.Touch.calm(from, to) {
				w.blame(Acks, "document %d, sent %s, had no acknowledgement until %s, calm from %s", d.Number, stamp(d.From), stamp(end), stamp(from))
				break
			}
		}
	}
	late, all := 0, 0
	for _, k := range w.workers {
		if k.Asked.IsZero() {
			continue
		}
		all++
		if (k.Acked.IsZero() && now.Sub(k.Asked) > w.B.Ack || k.Acked.Sub(k.Asked) > w.B.Ack) && w.Touch.calm(k.Asked, k.Asked.Add(w.B.Ack)) {
			late++
		}
	}
	if late >= 3 && 5*late > all {
		w.blame(Acks, "%d of %d leaving workers had no acknowledgement in time", late, all)
	}
}
