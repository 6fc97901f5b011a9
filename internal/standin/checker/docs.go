package checker

import (
	"strings"
	"time"
)

// Path is one path of an operator's document.
type Path struct {
	Name, Host, Prefix string
	Repeat             bool
	Services           map[string]int // weight; one of 0 gets nothing
	Left               time.Duration
	Tries              int // workers that one try may go to; 0: not told
}

// Doc is one document that an operator sent, and what became of it.
type Doc struct {
	Number  uint64
	Raw     string
	Paths   []Path
	Broken  string    // what is wrong with it, of a broken one
	From    time.Time // when it was first sent
	Acked   time.Time // when it was first acknowledged
	By      string    // the machine that did
	Refused time.Time // when it was told that it is broken
	End     time.Time // when its operator gave up or moved on; zero while it is sent
}

// Match finds the path of a host and URI: the longest prefix.
func (d *Doc) Match(host, uri string) *Path {
	uri, _, _ = strings.Cut(uri, "?")
	var best *Path
	for i := range d.Paths {
		p := &d.Paths[i]
		if p.Host == host && strings.HasPrefix(uri, p.Prefix) && (best == nil || len(p.Prefix) > len(best.Prefix)) {
			best = p
		}
	}
	return best
}

// may tells whether a document may be in force at a moment, or have been.
func (d *Doc) may(at time.Time) bool {
	return d.Broken == "" && !d.From.After(at) && (d.Refused.IsZero() || !d.Acked.IsZero())
}

// allows tells whether a document lets a try end so: run at a service, or,
// with none, refused for want of a path.
func (d *Doc) allows(t *Try, service string) bool {
	p := d.Match(t.Host, t.URI)
	if service == "" {
		return p == nil
	}
	return p != nil && p.Services[service] > 0
}

// Offer writes down a document right before it is first sent.
func (w *Witness) Offer(d *Doc) {
	w.mu.Lock()
	d.From = time.Now()
	w.docs = append(w.docs, d)
	w.mu.Unlock()
}

// Took writes down the acknowledgement of a document by a machine.
func (w *Witness) Took(d *Doc, by string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Broken != "" {
		w.blame(Config, "document %d was acknowledged although broken: %s", d.Number, d.Broken)
	}
	if d.Acked.IsZero() {
		d.Acked, d.By = time.Now(), by
	}
}

// Read is one answer to an operator who asks for the newest document.
type Read struct {
	From, At time.Time
	Number   uint64
	Same     bool // it is, field for field, one that was sent under its number
	Final    bool // it ended the day's reading back
	Came     bool
}

// ReadBack writes down what an operator read.
func (w *Witness) ReadBack(r Read) {
	w.mu.Lock()
	w.reads = append(w.reads, r)
	w.mu.Unlock()
}

// newest is the highest number acknowledged before a moment.
func (w *Witness) newest(at time.Time) (n uint64) {
	for _, d := range w.docs {
		if d.Broken == "" && !d.Acked.IsZero() && d.Acked.Before(at) {
			n = max(n, d.Number)
		}
	}
	return n
}

// ever tells whether any document that was sent allows a service to run a try.
func (w *Witness) ever(t *Try, service string) bool {
	for _, d := range w.docs {
		if d.allows(t, service) {
			return true
		}
	}
	return false
}

// deed is how one try was handled: run at a service, or refused as unknown.
type deed struct {
	t       *Try
	service string
	at      time.Time
	machine string // of the worker
}

// deeds lists what was done with every try, in time.
func (w *Witness) deeds() (out []deed) {
	for _, t := range w.order {
		for _, v := range t.Visits {
			if v.Ran() {
				out = append(out, deed{t, v.Worker.Service, v.Start, v.Worker.Machine})
			}
		}
		if t.Got.Status == 404 && t.own() {
			out = append(out, deed{t: t, at: t.End, machine: t.Front})
		}
	}
	return out
}

// span gives the lowest and the highest number of the documents that may be in
// force at a deed and allow it.
func (w *Witness) span(d deed) (lo, hi uint64, ok bool) {
	for _, c := range w.docs {
		if c.may(d.at) && c.allows(d.t, d.service) {
			if !ok || c.Number < lo {
				lo = c.Number
			}
			hi, ok = max(hi, c.Number), true
		}
	}
	return lo, hi, ok
}

// oldDocs: nobody in touch acts on a document older than one acknowledged
// longer ago than the bound; nothing broken or refused is acted on.
func (w *Witness) oldDocs() {
	for _, d := range w.deeds() {
		_, hi, ok := w.span(d)
		if !ok {
			// A 404 before the first document is in force is no deed of one.
			if d.service != "" && w.ever(d.t, d.service) {
				w.blame(Config, "%s ran at %s, which only a broken or refused document allows", d.t.ID, d.service)
				continue
			}
			if d.service != "" {
				continue
			}
		}
		calm := func(f func(string, time.Time, time.Time) bool) bool {
			return f(d.t.Front, d.t.From, d.at) && f(d.machine, d.t.From, d.at)
		}
		bound := w.B.Change
		if !calm(w.Touch.through) {
			if !calm(w.Touch.outer) {
				continue
			}
			bound += w.B.Stretch
		}
		if low := w.newest(d.t.From.Add(-bound)); low > hi || !ok && low > 0 {
			w.blame(Config, "%s (%s%s) at %s, sent %s, was handled (%s) as number %d allows, %d was acknowledged before",
				d.t.ID, d.t.Host, d.t.URI, d.t.Front, stamp(d.t.From), d.service, hi, low)
		}
	}
}

// stepsBack: within one life a machine that acted on a document acts on no
// older one.
func (w *Witness) stepsBack() {
	type life struct {
		machine string
		n       int
	}
	all := map[life][]deed{}
	for _, d := range w.deeds() {
		k := life{d.t.Front, d.t.Life}
		all[k] = append(all[k], d)
	}
	for k, list := range all {
		// What a worker saw by when, the highest first number so far.
		type sight struct {
			at time.Time
			lo uint64
			id string
		}
		var seen []sight
		for _, d := range list {
			if lo, _, ok := w.span(d); ok && d.service != "" {
				seen = append(seen, sight{d.at, lo, d.t.ID})
			}
		}
		for _, d := range list {
			_, hi, ok := w.span(d)
			if !ok {
				continue
			}
			slack := w.B.Back
			if w.Touch.slowed(k.machine, d.t.From.Add(-w.B.Touch), d.at) {
				slack *= 8
			}
			for _, s := range seen {
				if s.lo > hi && s.at.Add(slack).Before(d.t.From) {
					w.blame(Config, "%s at %s, sent %s, was handled as %d allows; %s showed %d at %s", d.t.ID, k.machine, stamp(d.t.From), hi, s.id, s.lo, stamp(s.at))
					break
				}
			}
		}
	}
}
