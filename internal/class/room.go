// Package class admits jobs to one worker's slots. A class below its share
// always gets the next free slot; an idle share is lent to whoever waits; a
// lent slot comes back when its job ends, never by cutting it.
package class

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"
)

// Floors rounds shares to whole slots by the largest remainder. A class with a
// positive share gets one slot at least, as far as the slots reach.
func Floors(slots int, shares map[string]float64) map[string]int {
	type part struct {
		name string
		rest float64
	}
	var parts []part
	out := map[string]int{}
	left := slots
	for n, s := range shares {
		exact := float64(slots) * s / 100
		out[n] = int(math.Floor(exact + 1e-9))
		left -= out[n]
		parts = append(parts, part{n, exact - float64(out[n])})
	}
	sort.Slice(parts, func(i, j int) bool {
		if parts[i].rest != parts[j].rest {
			return parts[i].rest > parts[j].rest
		}
		return parts[i].name < parts[j].name
	})
	for i := 0; i < len(parts) && left > 0; i++ {
		if shares[parts[i].name] > 0 {
			out[parts[i].name]++
			left--
		}
	}
	// No positive share may round to nothing: the richest class gives one up.
	for _, p := range parts {
		if shares[p.name] <= 0 || out[p.name] > 0 {
			continue
		}
		rich := ""
		for _, q := range parts {
			if out[q.name] > 1 && (rich == "" || out[q.name] > out[rich]) {
				rich = q.name
			}
		}
		if rich == "" {
			continue
		}
		out[rich]--
		out[p.name]++
	}
	return out
}

// waiter is one job that waits for a slot.
type waiter struct {
	class string
	go_   chan struct{}
	in    bool
}

// Use is what one class has of a worker.
type Use struct {
	Share    int   `json:"share" msgpack:"s"`
	Used     int   `json:"used" msgpack:"u"`
	Borrowed int   `json:"borrowed" msgpack:"b"`
	Lent     int   `json:"lent" msgpack:"l"`
	Waiting  int   `json:"waiting" msgpack:"w"`
	Refused  int64 `json:"refused" msgpack:"r"`
	Served   int64 `json:"served" msgpack:"d"`
}

// Room is the slots of one worker.
type Room struct {
	mu     sync.Mutex
	slots  int
	floor  map[string]int
	queue  int
	used   map[string]int
	total  int
	wait   map[string][]*waiter
	no     map[string]int64
	did    map[string]int64
	shut   bool
	each   time.Duration // a slot's time for one job, smoothed
	closed chan struct{}
}

// New makes a room; Shape sets its size.
func New() *Room {
	return &Room{floor: map[string]int{}, used: map[string]int{}, wait: map[string][]*waiter{}, no: map[string]int64{}, did: map[string]int64{}, closed: make(chan struct{})}
}

// Shape sets the slots, the shares and the bound on each queue. Jobs that run
// stay; what waits is looked at anew.
func (r *Room) Shape(slots int, shares map[string]float64, queue int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots, r.queue = slots, queue
	r.floor = Floors(slots, shares)
	r.next()
}

// The outcomes of Enter.
const (
	In      = ""
	Full    = "queue full"
	Late    = "no time left in the queue"
	Shut    = "draining"
	Unknown = "no such class"
)

// Enter takes a slot, waiting for one as long as wait. Any other outcome than
// In means that the job got none.
func (r *Room) Enter(ctx context.Context, class string, wait time.Duration) string {
	r.mu.Lock()
	if r.shut {
		r.mu.Unlock()
		return Shut
	}
	if _, ok := r.floor[class]; !ok {
		r.no[class]++
		r.mu.Unlock()
		return Unknown
	}
	if r.total < r.slots && len(r.wait[class]) == 0 {
		r.give(class)
		r.mu.Unlock()
		return In
	}
	// A job that can't hope for a slot in its time is told so at once.
	ahead := len(r.wait[class])
	if ahead >= r.queue || r.hope(class, ahead) > wait {
		r.no[class]++
		r.mu.Unlock()
		return Full
	}
	w := &waiter{class: class, go_: make(chan struct{})}
	r.wait[class] = append(r.wait[class], w)
	closed := r.closed
	r.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	why := Late
	select {
	case <-w.go_:
		return In
	case <-closed:
		why = Shut
	case <-t.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The slot may have come just now; then it is taken after all.
	if w.in {
		return In
	}
	r.drop(w)
	r.no[class]++
	return why
}

// hope guesses how long a class's queue takes to reach a new waiter.
func (r *Room) hope(class string, ahead int) time.Duration {
	// What it has borrowed goes on for a while: the next free slots are as
	// likely its own as they were.
	turns := max(r.floor[class], r.used[class], 1)
	return r.each * time.Duration(ahead) / time.Duration(turns)
}

// Drain guesses when a class's queue will have let in all who wait now.
func (r *Room) Drain(class string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hope(class, len(r.wait[class])+1)
}

func (r *Room) give(class string) {
	r.used[class]++
	r.total++
}

func (r *Room) drop(w *waiter) {
	q := r.wait[w.class]
	for i := range q {
		if q[i] == w {
			r.wait[w.class] = append(q[:i:i], q[i+1:]...)
			return
		}
	}
}

// Leave gives a slot back after a job that took some time.
func (r *Room) Leave(class string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used[class]--
	r.total--
	r.did[class]++
	r.each += (took - r.each) / 8
	r.next()
}

// next hands free slots to waiters: first to the class that is furthest below
// its share, then to the one that has borrowed least.
func (r *Room) next() {
	for r.total < r.slots {
		best, rank := "", math.Inf(1)
		for c, q := range r.wait {
			if len(q) == 0 {
				continue
			}
			// Below its share the rank is under 1; a class without a share
			// comes after all the others.
			n := math.MaxFloat64
			if f := r.floor[c]; f > 0 {
				n = float64(r.used[c]) / float64(f)
			}
			if n < rank || (n == rank && (best == "" || c < best)) {
				best, rank = c, n
			}
		}
		if best == "" {
			return
		}
		w := r.wait[best][0]
		r.wait[best] = r.wait[best][1:]
		w.in = true
		r.give(best)
		close(w.go_)
	}
}
