package checker

import (
	"sort"
	"time"
)

// turned tells that a call promises to have had no effect.
func turned(code int) bool { return code == 412 || code == 429 || code == 503 }

// story is what is known of one put, over all times that it was sent.
type story struct {
	name, value string
	first       time.Time
	rev         uint64 // 0 when no answer told it
	acked       time.Time
	open        bool // some call had no clear answer
	turned      bool // every call was turned away
}

func (w *Witness) stories() map[string]*story {
	out := map[string]*story{}
	for _, o := range w.ops {
		if o.Kind != Put {
			continue
		}
		k := o.Name + "\n" + o.Value
		s := out[k]
		if s == nil {
			s = &story{name: o.Name, value: o.Value, first: o.First, turned: true}
			out[k] = s
		}
		switch {
		case o.Code == 200:
			s.rev, s.turned = o.Num, false
			if s.acked.IsZero() || o.To.Before(s.acked) {
				s.acked = o.To
			}
		case !turned(o.Code):
			s.open, s.turned = true, false
		}
	}
	return out
}

// sight is a value that showed under a revision.
type sight struct {
	key, value string
	rev        uint64
	at         time.Time
}

// keys: reads are no older than what was acknowledged, values are those that
// were put there. STALE, MIXED, REFUSED.
func (w *Witness) keys() {
	all := w.stories()
	var shown []sight
	for _, o := range w.ops {
		switch {
		case o.Kind == Get && o.Code == 200:
			shown = append(shown, sight{o.Name, o.Value, o.Num, o.To})
		case o.Kind == Watch && o.Code == 200:
			for _, c := range o.Changes {
				shown = append(shown, sight{c.Key, c.Value, c.Rev, o.To})
			}
		}
	}
	under := map[string]uint64{}
	type spot struct {
		group string
		rev   uint64
	}
	known := map[spot]string{}
	for _, s := range all {
		if s.rev > 0 {
			under[s.name+"\n"+s.value] = s.rev
			known[spot{group(s.name), s.rev}] = s.name
		}
	}
	for _, s := range shown {
		k := s.key + "\n" + s.value
		st := all[k]
		switch {
		case st == nil:
			w.blame(Mixed, "%s shows %q, which nobody put there", s.key, s.value)
		case st.turned:
			w.blame(Refused, "%s shows %q, whose put was turned away", s.key, s.value)
		}
		if n, ok := under[k]; ok && n != s.rev {
			w.blame(Mixed, "%s shows %q under revisions %d and %d", s.key, s.value, n, s.rev)
		}
		under[k] = s.rev
		known[spot{group(s.key), s.rev}] = s.key
	}
	open := map[string]bool{}
	for _, s := range all {
		open[s.name] = open[s.name] || s.open
	}
	for _, o := range w.ops {
		if o.Kind != Put || o.Code != 412 || o.Num == 0 {
			continue
		}
		who, ok := known[spot{group(o.Name), o.Num}]
		if ok && who != o.Name || !ok && !open[o.Name] {
			w.blame(Mixed, "a 412 names revision %d of %s, which no put of it got", o.Num, o.Name)
		}
	}
	w.stale(all)
}

func (w *Witness) stale(all map[string]*story) {
	acked := map[string][]*story{}
	for _, s := range all {
		if s.rev > 0 {
			acked[s.name] = append(acked[s.name], s)
		}
	}
	for _, l := range acked {
		sort.Slice(l, func(i, j int) bool { return l[i].acked.Before(l[j].acked) })
		// From here on rev is the highest acknowledged by then.
		for i := 1; i < len(l); i++ {
			if l[i].rev < l[i-1].rev {
				c := *l[i]
				c.rev = l[i-1].rev
				l[i] = &c
			}
		}
	}
	for _, o := range w.ops {
		if o.Kind != Get || o.Code != 200 && o.Code != 404 {
			continue
		}
		l := acked[o.Name]
		n := sort.Search(len(l), func(i int) bool { return !l[i].acked.Before(o.From) })
		if n == 0 {
			continue
		}
		low := l[n-1].rev
		if o.Code == 404 || o.Num < low {
			rule := Stale
			if !w.shut[0].IsZero() && o.From.After(w.shut[0]) && l[n-1].acked.Before(w.shut[0]) {
				rule = Lost
			}
			w.blame(rule, "%s read at %d (%d) by a call sent %s, %d was acknowledged before", o.Name, o.Num, o.Code, stamp(o.From), low)
		}
	}
}

// watches: changes rise, none inside a span is skipped, and what was given
// lately can be watched from. ORDER, LOST.
func (w *Witness) watches() {
	type put struct {
		rev uint64
		key string
	}
	puts := map[string][]put{}
	for _, s := range w.stories() {
		if s.rev > 0 {
			puts[group(s.name)] = append(puts[group(s.name)], put{s.rev, s.name})
		}
	}
	given := map[string]map[uint64]time.Time{}
	for _, o := range w.ops {
		if o.Kind != Watch {
			continue
		}
		if given[o.Name] == nil {
			given[o.Name] = map[uint64]time.Time{}
		}
		if o.Code == 410 {
			if at, ok := given[o.Name][o.After]; ok && o.From.Sub(at) < w.B.Hist {
				w.blame(Lost, "a watch of %s after %d got 410, %v after that was given", o.Name, o.After, o.From.Sub(at))
			}
			continue
		}
		if o.Code != 200 {
			continue
		}
		last := o.After
		seen := map[uint64]bool{}
		for _, c := range o.Changes {
			if c.Rev <= last {
				w.blame(Order, "a watch of %s gave revision %d after %d", o.Name, c.Rev, last)
			}
			last = c.Rev
			seen[c.Rev] = true
		}
		if o.After > 0 && o.Num < o.After || last > o.Num && o.After > 0 {
			w.blame(Order, "a watch of %s after %d ended at %d with %d in it", o.Name, o.After, o.Num, last)
		}
		// With 0 only the present revision is asked for.
		for _, p := range puts[o.Name] {
			if o.After > 0 && p.rev > o.After && p.rev <= o.Num && !seen[p.rev] {
				w.blame(Order, "a watch of %s from %d to %d skipped %d of %s", o.Name, o.After, o.Num, p.rev, p.key)
			}
		}
		given[o.Name][o.Num] = o.To
	}
	w.ends()
}

// ends: when the day ends every call comes through in time.
func (w *Witness) ends() {
	came := map[string]bool{}
	for _, o := range w.ops {
		if o.Final {
			k := o.Kind + " " + o.Name
			came[k] = came[k] || o.Code == 200 || o.Code == 404 || o.Code == 409 || o.Code == 410
		}
	}
	for k, ok := range came {
		if !ok {
			w.blame(Lost, "%s did not come when the day ended", k)
		}
	}
}
