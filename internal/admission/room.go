// Package admission admits jobs to one worker's slots. A class below its share
// always gets the next free slot; an idle share is lent to whoever waits; a
// lent slot comes back when its job ends, never by cutting it.
package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Controller is the slots of one worker.
type Controller struct {
	mu     sync.Mutex
	born   time.Time
	slots  int
	queue  int
	total  int
	lots   map[string]*lot
	guests float64 // part of the jobs that are inner ones, smoothed
	inside int     // inner jobs with a slot
	shut   bool
	closed chan struct{}
	dice   func() float64
}

// New makes a room; Shape sets its size.
func New() *Controller {
	return &Controller{born: time.Now(), lots: map[string]*lot{}, closed: make(chan struct{}), dice: rand.Float64}
}

// now is the time since the room's birth in us: sums of it over all slots stay
// far below the greatest whole number.
func (r *Controller) now() int64 { return time.Since(r.born).Microseconds() }

// lot finds a class's lot or makes it.
func (r *Controller) lot(class string) *lot {
	l := r.lots[class]
	if l == nil {
		l = &lot{}
		r.lots[class] = l
	}
	return l
}

// Configure sets the slots, the shares and the bound on each queue. Jobs that run
// stay; what waits is looked at anew.
func (r *Controller) Configure(slots int, shares map[string]float64, queue int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots, r.queue = slots, queue
	floors := Floors(slots, shares)
	for n, l := range r.lots {
		if _, ok := floors[n]; ok {
			continue
		}
		l.floor, l.known = 0, false
		// A class that went out of the rules goes with its last job.
		if l.used == 0 && l.waits() == 0 {
			delete(r.lots, n)
		}
	}
	for n, f := range floors {
		l := r.lot(n)
		l.floor, l.known = f, true
	}
	r.next()
}

// The outcomes of Enter.
const (
	Admitted     = ""
	QueueFull    = "queue full"
	NoTimeLeft   = "no time left in the queue"
	Draining     = "draining"
	UnknownClass = "no such class"
)

// Request is what a job asks a room for.
type Request struct {
	Class    string
	MaxWait  time.Duration // the longest that it may wait
	Target   time.Duration // until its aim is missed; it waits a quarter of that at the most. 0 or less: no aim
	Nested   bool          // the caller is a job that holds a slot elsewhere
	Priority int           // those of a lower one go first in its line
}

// bound is how long a job may wait. One that is turned away later than a
// quarter of its aim has too little left to be served in time elsewhere.
func (a Request) bound() time.Duration {
	if a.Target > 0 {
		return min(a.MaxWait, a.Target/4)
	}
	return a.MaxWait
}

// Acquire takes a slot, waiting for one within the ask's bounds. Any other
// outcome than In means that the job got none. Leave wants the same ask.
func (r *Controller) Acquire(ctx context.Context, a Request) string {
	r.mu.Lock()
	if r.shut {
		r.mu.Unlock()
		return Draining
	}
	l := r.lots[a.Class]
	if l == nil || !l.known {
		r.mu.Unlock()
		return UnknownClass
	}
	r.meet(a.Nested)
	// Fewer slots kept back may be a turn for one who waits.
	if r.total < r.slots {
		r.next()
	}
	q, ahead, most := &l.outer, l.waits(), r.queue
	if a.Nested {
		// A slot stands still elsewhere as long as an inner job waits, so its
		// queue is a little longer.
		q, ahead, most = &l.inner, l.inner.long, r.queue+max(r.queue/4, 1)
	}
	if ahead == 0 && r.free(l, a.Nested) {
		r.give(l, a.Nested)
		r.mu.Unlock()
		return Admitted
	}
	// A job that can't hope for a slot in its time is told so at once. Only those
	// that go before it are in its way; the queue as a whole is bounded besides.
	wait := a.bound()
	due := time.Now().Add(wait)
	first := ahead - q.long + q.before(a.Priority, due)
	if first >= most || ahead >= 4*most || r.fear(l, first) > wait {
		l.no++
		r.mu.Unlock()
		return QueueFull
	}
	w := &waiter{inner: a.Nested, rank: a.Priority, due: due, go_: make(chan struct{})}
	q.add(w)
	closed := r.closed
	r.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	why := NoTimeLeft
	select {
	case <-w.go_:
		return Admitted
	case <-closed:
		why = Draining
	case <-t.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The slot may have come just now; then it is taken after all.
	if w.in {
		return Admitted
	}
	w.line.drop(w)
	l.no++
	return why
}

// meet notes what part of the jobs are inner ones.
func (r *Controller) meet(inner bool) {
	hit := 0.0
	if inner {
		hit = 1
	}
	r.guests += (hit - r.guests) / (2 * memory)
}

// kept is how many free slots are kept back for inner jobs: as many as come
// usually and are not inside, an eighth of the slots at the most.
func (r *Controller) kept() int {
	return max(min(int(math.Round(r.guests*float64(r.slots))), r.slots/8)-r.inside, 0)
}

// free tells whether a class's job may have a slot now. What is kept back is
// kept from those who would borrow it, never from a class below its share.
func (r *Controller) free(l *lot, inner bool) bool {
	left := r.slots - r.total
	if !inner && l.used >= l.floor {
		left -= r.kept()
	}
	return left > 0
}

func (r *Controller) give(l *lot, inner bool) {
	l.used++
	r.total++
	l.starts += r.now()
	if inner {
		r.inside++
	}
}

// Release gives a slot back after a job that took some time.
func (r *Controller) Release(a Request, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lot(a.Class)
	l.used--
	r.total--
	if a.Nested {
		r.inside--
	}
	l.did++
	l.starts -= r.now() - took.Microseconds()
	if l.used == 0 {
		l.starts = 0
	}
	l.pace.note(took)
	r.next()
}

// next hands free slots to waiters: first to the class that is furthest below
// its share, then to the one that has borrowed least.
func (r *Controller) next() {
	for r.total < r.slots {
		var best *lot
		name, rank := "", math.Inf(1)
		for c, l := range r.lots {
			w := l.next()
			if w == nil || !r.free(l, w.inner) {
				continue
			}
			// Below its share the rank is under 1; a class without a share
			// comes after all the others.
			n := math.MaxFloat64
			if l.floor > 0 {
				n = float64(l.used) / float64(l.floor)
			}
			if n < rank || (n == rank && (best == nil || c < name)) {
				best, name, rank = l, c, n
			}
		}
		if best == nil {
			return
		}
		w := best.next()
		w.line.drop(w)
		w.in = true
		r.give(best, w.inner)
		close(w.go_)
	}
}
