// Package balancer picks the worker of a job: the one that costs least, by the
// time that jobs of its path are expected to take there against the job's aim,
// by how many missed it lately, by load and by fitness. Workers of the own area
// are given an advance, since bytes between areas are dear.
package balancer

import (
	"math"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/ormap"
)

// mate is what this front knows of one worker.
type mate struct {
	out   int // own jobs under way there
	slots float64
	used  int       // what the owner's last receipt said
	when  time.Time // when it said so
	fail  float64   // smoothed rate of failures
	slow  float64   // smoothed latency in ms
	count int
	unfit bool
	pace  float64   // how long its jobs run, as a ratio to all jobs of their paths; 0: not known
	late  float64   // part of its jobs that missed their aim, smoothed
	seen  time.Time // when a job last said something of it
	falls int       // how often it turned unfit lately
	fell  time.Time // when it did so last
}

// mean is a smoothed time in ms.
type mean struct {
	ms    float64
	count int
}

// add takes in one more, which counts for most times the mean at the most; the
// first ones make up a plain mean, later ones weigh one in long.
func (a *mean) add(ms, most float64, long int) {
	if a.count < long {
		a.count++
	}
	if a.count > least {
		ms = min(ms, most*a.ms)
	}
	a.ms += (ms - a.ms) / float64(a.count)
}

// Balancer is one front's choice of workers.
type Balancer struct {
	mu     sync.Mutex
	area   string
	fresh  time.Duration // how long a receipt's word on load counts
	window time.Duration // in a ratio of which doubts fade
	mates  map[string]*mate
	shun   map[string]time.Time // owners that could not be reached, until when
	here   func(string) bool    // whether a node has a session; nil: not known
	tell   func(worker string, fit bool)
	lists  map[string]*roster // by service
	paths  map[string]mean    // by path, ms that a job runs, smoothed over all workers
	fails  map[string]float64 // by service, part of its jobs that failed, smoothed
}

// New makes a nominator for a front in an area; fresh is how long a receipt's
// word on load counts, window the time in whose ratio doubts fade.
func New(area string, fresh, window time.Duration, tell func(string, bool)) *Balancer {
	return &Balancer{area: area, fresh: fresh, window: window, mates: map[string]*mate{}, paths: map[string]mean{}, fails: map[string]float64{},
		lists: map[string]*roster{}, shun: map[string]time.Time{}, tell: tell}
}

func (n *Balancer) mate(worker string) *mate {
	m := n.mates[worker]
	if m == nil {
		m = &mate{}
		n.mates[worker] = m
	}
	return m
}

// Slots reads a worker's slots from its entry.
func Slots(e ormap.Entry) int {
	s, err := strconv.Atoi(e.Meta["slots"])
	if err != nil || s < 1 {
		return 1
	}
	return s
}

// load is the part of a worker's slots that is taken, as far as is known. What
// a receipt said turns by and by into what is usual for the service: with many
// fronts each gets one in a while, and what made a worker crowded (it is slow,
// or has many callers near) lasts for longer than that.
func (n *Balancer) load(r *roster, s *seat, now time.Time) float64 {
	l := r.load
	if !s.m.when.IsZero() {
		age := float64(now.Sub(s.m.when)) / float64(n.window)
		l += (float64(s.m.used)/s.slots - l) * math.Exp(-age)
	}
	return max(l, float64(s.m.out)/s.slots)
}

const least = 8 // answers before a worker is judged

// faint is what is left of a doubt about a worker that nothing was heard of
// for a while. Who fell often of late is doubted for longer, though for a window
// and a half at the most: from then on others should have shown that it is ill.
// Without that end a doubt that halves by and by keeps jobs away for three windows.
func (n *Balancer) faint(m *mate, now time.Time) float64 {
	if m.seen.IsZero() || n.window <= 0 {
		return 1
	}
	age := float64(now.Sub(m.seen)) / float64(n.window)
	return math.Exp(-age/min(0.5*float64(int(1)<<m.falls), 1)) * max(1-age/1.5, 0)
}

// weight is a worker's fitness from 0.01 to 1, against its peers. A job that
// may not be sent again shies away twice as much.
func (n *Balancer) weight(m *mate, mid, faint float64, once bool) float64 {
	if m.count < least {
		return 1
	}
	low, by := 0.05, 4.0
	if once {
		low, by = 0.01, 8
	}
	w := math.Pow(1-m.fail*faint, by)
	// Up to twice the peers' middle is the noise of ordinary days.
	if slow := m.slow; mid > 0 && slow > 2*mid {
		slow = 2*mid + (slow-2*mid)*faint
		w *= 2 * mid / slow
	}
	return max(w, low)
}

// SetSessionCheck tells how to find out whether a node has a session with a control node.
func (n *Balancer) SetSessionCheck(has func(node string) bool) {
	n.mu.Lock()
	n.here = has
	n.mu.Unlock()
}

// Exclude leaves an owner out for a while: it could not be reached.
func (n *Balancer) Exclude(owner string, long time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for o, till := range n.shun {
		if now.After(till) {
			delete(n.shun, o)
		}
	}
	n.shun[owner] = now.Add(long)
}

// Forget drops a worker that is gone.
func (n *Balancer) Forget(worker string) {
	n.mu.Lock()
	delete(n.mates, worker)
	n.mu.Unlock()
}

// Weights gives the weight of every known worker of a service that was asked for.
func (n *Balancer) Weights() map[string]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, now := map[string]float64{}, time.Now()
	for _, r := range n.lists {
		for _, list := range [][]seat{r.near, r.far} {
			for i := range list {
				s := &list[i]
				out[s.e.Worker] = n.weight(s.m, n.middle(r, now), n.faint(s.m, now), false) * r.share(s, false)
			}
		}
	}
	return out
}

// HasFreeSlots tells whether there are free slots somewhere in a service, by what its
// owners' receipts said.
func (n *Balancer) HasFreeSlots(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.lists[service]
	return r != nil && r.load < 1
}

// UsualRunMS is how long a job of a path runs at a worker, in ms over all workers
// that this front sends to; 0 when not known.
func (n *Balancer) UsualRunMS(path string) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths[path].ms
}

// FailureRate is the part of a service's jobs that fails at any worker.
func (n *Balancer) FailureRate(service string) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fails[service]
}
