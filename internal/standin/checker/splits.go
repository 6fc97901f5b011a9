package checker

import (
	"math"
	"time"
)

// What the share of a part of a split may be off its weight's, in a calm time of so many
// requests.
const (
	splitAtLeast = 200
	splitOff     = 0.2
)

// splits: in calm times the services of a split get their weights' shares.
func (w *Witness) splits() {
	for _, d := range w.docs {
		from, to, ok := w.alone(d)
		if !ok {
			continue
		}
		for i := range d.Paths {
			if p := &d.Paths[i]; len(p.Services) > 1 {
				w.split(d, p, from, to)
			}
		}
	}
}

// alone is the time in which no other document than one can be in force.
func (w *Witness) alone(d *Doc) (from, to time.Time, ok bool) {
	if d.Broken != "" || d.Acked.IsZero() || w.newest(d.Acked) > d.Number {
		return from, to, false
	}
	from, to = d.Acked.Add(w.B.Change), time.Now()
	for _, o := range w.docs {
		if o.Number > d.Number && o.Broken == "" && o.From.Before(to) {
			to = o.From
		}
	}
	return from, to, from.Before(to)
}

// split judges one path of a document by the requests of a time. One that reached no
// worker may be a part that turns requests away, so that nothing is said then.
func (w *Witness) split(d *Doc, p *Path, from, to time.Time) {
	got, all, weights := map[string]int{}, 0, 0
	for _, t := range w.order {
		if t.From.Before(from) || !t.From.Before(to) || d.Match(t.Host, t.URI) != p || !w.Touch.through(t.Front, t.From, t.End) {
			continue
		}
		if len(t.Visits) == 0 {
			return
		}
		got[t.Visits[0].Worker.Service]++
		all++
	}
	for _, n := range p.Services {
		weights += n
	}
	if all < splitAtLeast || weights == 0 {
		return
	}
	for s, n := range p.Services {
		share, due := float64(got[s])/float64(all), float64(n)/float64(weights)
		if math.Abs(share-due) > splitOff {
			w.blame(Config, "path %s of document %d: %s got %.2f of %d requests, its weight is %.2f", p.Name, d.Number, s, share, all, due)
		}
	}
}
