package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ormap"
)

// PickRequest is a job that needs a worker.
type PickRequest struct {
	Route      string
	Target     time.Duration   // what is left of its aim
	Bulk       bool            // its bodies are large
	Repeatable bool            // it may be sent again
	Tried      map[string]bool // workers to leave out

	Delay func(ormap.Entry) time.Duration // of bulk: until it would be there, as measured; nil: at once
}

// The advance of the own area: how much more of a chance to miss the aim is put
// up with there. Bytes between areas are dear, those of bulk all the more.
const (
	advance     = 0.5
	advanceBulk = 1.5
)

// probes is one of how many jobs that look at a doubtful worker goes there
// whatever it costs; of a few workers in an area as many more as there are
// fewer. This is a tenth of its fair part at any size, and keen times that once
// its owner doubts it but a little: a doubled cost alone wins nothing while others
// have room, and what shows that it is well would come as slowly as at the worst.
const (
	probes = 32
	keen   = 3
)

// Pick nominates one of the entries, leaving out those tried and those that
// drain. It takes a place in the count, which Done gives back. The list must
// be one that is replaced when entries change, not changed itself.
func (n *Balancer) Pick(all []ormap.Entry, w PickRequest) (ormap.Entry, bool) {
	if len(all) == 0 {
		return ormap.Entry{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	r := n.roster(all)
	var room [2 * looks]*seat
	got := n.draw(room[:0], r.near, &w, now)
	nigh := len(got)
	got = n.draw(got, r.far, &w, now)
	if len(got) == 0 {
		s := n.last(r, &w, now)
		if s == nil {
			return ormap.Entry{}, false
		}
		return s.give(), true
	}
	few := len(got)
	if nigh > 0 {
		few = nigh
	}
	mid := n.middle(r, now)
	gain := advance
	if w.Bulk {
		gain = advanceBulk
	}
	var best *seat
	low := math.Inf(1)
	for i, s := range got {
		c, doubt := n.cost(r, s, &w, mid, now)
		// What can be sent again is a probe by which the doubtful can regain
		// their weight; of those far away only where there are none near.
		if doubt && w.Repeatable && !w.Bulk && (i < nigh || nigh == 0) && rand.IntN(probes*few) < looks*s.keen {
			return s.give(), true
		}
		if i >= nigh {
			c += gain
		}
		// What waits on the way misses the aim as what waits there does.
		if w.Delay != nil && w.Target > 0 {
			c += min(float64(w.Delay(s.e))/float64(w.Target), 4)
		}
		if c < low {
			best, low = s, c
		}
	}
	return best.give(), true
}

func (s *seat) give() ormap.Entry {
	s.m.out++
	return s.e
}

// cost weighs one worker for a job: a quarter of the part of the aim that it is
// expected to take, the part of its jobs that missed theirs, and its load, most
// of all when its last slots are being taken, over its fitness. It also tells
// whether the worker is in doubt, or hardly known.
func (n *Balancer) cost(r *roster, s *seat, w *PickRequest, mid float64, now time.Time) (float64, bool) {
	m := s.m
	load := n.load(r, s, now) + 1/s.slots
	faint := n.faint(m, now)
	pace := 1.0
	if m.pace != 0 {
		pace += (m.pace - 1) * faint
	}
	took := n.paths[w.Route].ms * pace
	// Beyond its slots each job waits for its turn.
	took *= 1 + max(load-1, 0)
	part := 1.0
	if w.Target > 0 {
		part = min(took/float64(w.Target.Milliseconds()+1), 2)
	}
	late := m.late * faint
	fit, share := n.weight(m, mid, faint, !w.Repeatable), r.share(s, !w.Repeatable)
	c := (part/4 + late + load/16 + max(load-0.75, 0)) / (fit * share)
	return c, share < 1 || fit < unfit || late > 0.25 || m.count < least
}

// A worker is unfit from this weight on, and fit again from twice that or so.
const (
	unfit = 0.4
	fit   = 0.7
)

// Outcome is how a send ended.
type Outcome struct {
	Worker, Service string
	Route           string
	UsedSlots       int           // slots in use there, -1 when not known
	RoundTrip       time.Duration // from here and back
	RunTime         time.Duration // at the worker alone; 0 when not known
	MissedTarget    bool          // the job's aim was missed
	OK              bool
	AboutWorker     bool         // it says something of the worker: a refusal doesn't
	Report          WorkerReport // its owner's, if any came
}

// RecordOutcome takes in how a send ended.
func (n *Balancer) RecordOutcome(d Outcome) {
	n.mu.Lock()
	m := n.mate(d.Worker)
	m.out = max(m.out-1, 0)
	now := time.Now()
	if d.UsedSlots >= 0 {
		m.used, m.when = d.UsedSlots, now
		if r := n.lists[d.Service]; r != nil && m.slots > 0 {
			r.load += (float64(d.UsedSlots)/m.slots - r.load) / 32
		}
	}
	if d.AboutWorker || d.Report.PaceEighths > 0 {
		n.settle(m, now)
	}
	bad := 0.0
	if !d.OK {
		bad = 1
	}
	if d.AboutWorker {
		// The first answers weigh more, so that the average starts near truth.
		k := max(1/float64(m.count+1), 0.1)
		m.count++
		m.fail += (bad - m.fail) * k
		m.slow += (float64(d.RoundTrip)/float64(time.Millisecond) - m.slow) * k
		late := 0.0
		if d.MissedTarget {
			late = 1
		}
		m.late += (late - m.late) * max(1/float64(m.count+16), 0.02)
		if d.OK && d.RunTime > 0 {
			n.ran(m, d)
		}
		if len(n.fails) >= 4096 {
			clear(n.fails)
		}
		n.fails[d.Service] += (bad - n.fails[d.Service]) / 32
	}
	if d.Report.PaceEighths > 0 {
		// It saw all jobs there, this front some: its word goes first.
		m.fail = d.Report.failing()
		m.pace = d.Report.pace()
		m.count = max(m.count, least)
		if m.slow == 0 {
			m.slow = float64(d.RoundTrip) / float64(time.Millisecond)
		}
	}
	was := m.unfit
	if r := n.lists[d.Service]; r != nil {
		w := n.weight(m, n.middle(r, now), 1, false)
		m.unfit = w < unfit || (was && w < fit)
	}
	turned := m.unfit
	if turned && !was {
		// One that falls again and again is let back more slowly each time.
		if m.falls++; now.Sub(m.fell) > 4*n.window {
			m.falls = 0
		}
		m.falls, m.fell = min(m.falls, 3), now
	}
	n.mu.Unlock()
	if was != turned && n.tell != nil {
		n.tell(d.Worker, !turned)
	}
}

// settle lets older marks fade before new ones are made.
func (n *Balancer) settle(m *mate, now time.Time) {
	f := n.faint(m, now)
	m.fail *= f
	m.late *= f
	if m.pace != 0 {
		m.pace = 1 + (m.pace-1)*f
	}
	m.seen = now
}

// ran takes in how long a job ran at the worker.
func (n *Balancer) ran(m *mate, d Outcome) {
	ms := float64(d.RunTime) / float64(time.Millisecond)
	p, ok := n.paths[d.Route]
	// Paths of older configurations must not pile up.
	if !ok && len(n.paths) >= 4096 {
		clear(n.paths)
	}
	was := p.ms
	p.add(ms, 4, 32)
	n.paths[d.Route] = p
	if was <= 0 {
		return
	}
	// One long job says little of its worker.
	ratio := min(ms/was, 4)
	if m.pace == 0 {
		m.pace = 1
	}
	m.pace += (ratio - m.pace) / 24
}
