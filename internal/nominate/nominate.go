// Package nominate picks the worker of a job: own area first while it has
// room, then the others; of two random ones the one with fewer jobs per slot,
// weighed by fitness.
package nominate

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/ormap"
)

// mate is what this front knows of one worker.
type mate struct {
	out   int       // own jobs under way there
	used  int       // what the owner's last receipt said
	when  time.Time // when it said so
	fail  float64   // smoothed rate of failures
	slow  float64   // smoothed latency in ms
	count int
	unfit bool
	kind  string // the service, since only like is compared with like
}

// Nominator is one front's choice of workers.
type Nominator struct {
	mu    sync.Mutex
	area  string
	fresh time.Duration // how long a receipt's word on load counts
	mates map[string]*mate
	shun  map[string]time.Time // owners that could not be reached, until when
	here  map[string]bool      // nodes with a session; nil: not known
	tell  func(worker string, fit bool)
}

// New makes a nominator for a front in an area.
func New(area string, fresh time.Duration, tell func(string, bool)) *Nominator {
	return &Nominator{area: area, fresh: fresh, mates: map[string]*mate{}, shun: map[string]time.Time{}, tell: tell}
}

func (n *Nominator) mate(worker string) *mate {
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

// Pick nominates one of the entries, leaving out those tried and those that
// drain. It takes a place in the count, which Done gives back.
func (n *Nominator) Pick(all []ormap.Entry, tried map[string]bool) (ormap.Entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var near, far, full, lost []ormap.Entry
	for _, e := range all {
		if tried[e.Worker] || e.Meta["state"] == "draining" {
			continue
		}
		switch {
		case time.Now().Before(n.shun[e.Owner]), n.here != nil && !n.here[e.Owner]:
			// Asked only when there is nobody else: its entries stay until it
			// is retired, and each try would cost a repeat.
			lost = append(lost, e)
		case n.load(e) >= 1:
			full = append(full, e)
		case e.Area == n.area:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	mid := n.middle(all)
	list := near
	// The own area has room only while its workers there are fit: a sick one
	// must not hold on to all the jobs of its area.
	if len(near) == 0 || n.best(near, mid) < 0.5 && n.best(far, mid) >= 0.5 {
		list = append(near, far...)
	}
	if len(list) == 0 {
		list = full
	}
	if len(list) == 0 {
		list = lost
	}
	if len(list) == 0 {
		return ormap.Entry{}, false
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	// A small part goes to a random one: the unfit get the probes by which
	// they can regain their weight.
	if rand.IntN(64) != 0 && n.score(b, mid) < n.score(a, mid) {
		a = b
	}
	m := n.mate(a.Worker)
	m.out++
	m.kind = a.Service
	return a, true
}

func (n *Nominator) load(e ormap.Entry) float64 {
	m := n.mate(e.Worker)
	l := m.out
	if time.Since(m.when) < n.fresh {
		l = max(l, m.used)
	}
	return float64(l) / float64(Slots(e))
}

func (n *Nominator) score(e ormap.Entry, mid float64) float64 {
	return (n.load(e) + 1/float64(Slots(e))) / n.weight(n.mate(e.Worker), mid)
}

func (n *Nominator) best(all []ormap.Entry, mid float64) float64 {
	w := 0.0
	for _, e := range all {
		w = max(w, n.weight(n.mate(e.Worker), mid))
	}
	return w
}

// middle is the median latency of the peers.
func (n *Nominator) middle(all []ormap.Entry) float64 {
	var l []float64
	for _, e := range all {
		if m := n.mate(e.Worker); m.count >= least {
			l = append(l, m.slow)
		}
	}
	if len(l) == 0 {
		return 0
	}
	sort.Float64s(l)
	return l[(len(l)-1)/2]
}

const least = 8 // answers before a worker is judged

// weight is a worker's fitness from 0.05 to 1, against its peers.
func (n *Nominator) weight(m *mate, mid float64) float64 {
	if m.count < least {
		return 1
	}
	w := math.Pow(1-m.fail, 4)
	// Up to twice the peers' middle is the noise of ordinary days.
	if mid > 0 && m.slow > 2*mid {
		w *= 2 * mid / m.slow
	}
	return max(w, 0.05)
}

// Done takes in how a send ended. A refusal says nothing of fitness.
func (n *Nominator) Done(worker string, used int, took time.Duration, ok, counts bool) {
	n.mu.Lock()
	m := n.mate(worker)
	m.out = max(m.out-1, 0)
	if used >= 0 {
		m.used, m.when = used, time.Now()
	}
	if counts {
		bad := 0.0
		if !ok {
			bad = 1
		}
		// The first answers weigh more, so that the average starts near truth.
		k := max(1/float64(m.count+1), 0.1)
		m.count++
		m.fail += (bad - m.fail) * k
		m.slow += (float64(took)/float64(time.Millisecond) - m.slow) * k
	}
	mid := n.others(worker)
	w := n.weight(m, mid)
	was := m.unfit
	m.unfit = w < 0.4 || (was && w < 0.7)
	now := m.unfit
	n.mu.Unlock()
	if was != now && n.tell != nil {
		n.tell(worker, !now)
	}
}

func (n *Nominator) others(but string) float64 {
	var l []float64
	kind := n.mates[but].kind
	for w, m := range n.mates {
		if w != but && m.count >= least && m.kind == kind {
			l = append(l, m.slow)
		}
	}
	if len(l) == 0 {
		return 0
	}
	sort.Float64s(l)
	return l[len(l)/2]
}

// Here tells which nodes have a session with a control node.
func (n *Nominator) Here(nodes map[string]bool) {
	n.mu.Lock()
	n.here = nodes
	n.mu.Unlock()
}

// Shun leaves an owner out for a while: it could not be reached.
func (n *Nominator) Shun(owner string, long time.Duration) {
	n.mu.Lock()
	n.shun[owner] = time.Now().Add(long)
	n.mu.Unlock()
}

// Forget drops a worker that is gone.
func (n *Nominator) Forget(worker string) {
	n.mu.Lock()
	delete(n.mates, worker)
	n.mu.Unlock()
}

// Fits gives the weight of every known worker.
func (n *Nominator) Fits() map[string]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]float64{}
	for w, m := range n.mates {
		out[w] = n.weight(m, n.others(w))
	}
	return out
}
