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
	mu           sync.Mutex
	created      time.Time
	slots        int
	queueLimit   int
	inUse        int
	classes      map[string]*classState
	nestedShare  float64 // part of the jobs that are inner ones, smoothed
	nestedInUse  int     // inner jobs with a slot
	draining     bool
	drainStarted chan struct{}
	random       func() float64
}

// New makes a room; Shape sets its size.
func New() *Controller {
	return &Controller{created: time.Now(), classes: map[string]*classState{}, drainStarted: make(chan struct{}), random: rand.Float64}
}

// nowMicros is the time since the room's birth in us: sums of it over all slots stay
// far below the greatest whole number.
func (c *Controller) nowMicros() int64 { return time.Since(c.created).Microseconds() }

// stateOf finds a class's lot or makes it.
func (c *Controller) stateOf(class string) *classState {
	state := c.classes[class]
	if state == nil {
		state = &classState{}
		c.classes[class] = state
	}
	return state
}

// Configure sets the slots, the shares and the bound on each queue. Jobs that run
// stay; what waits is looked at anew.
func (c *Controller) Configure(slots int, shares map[string]float64, queueLimit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots, c.queueLimit = slots, queueLimit
	guaranteed := GuaranteedSlots(slots, shares)
	for class, state := range c.classes {
		if _, ok := guaranteed[class]; ok {
			continue
		}
		state.guaranteed, state.configured = 0, false
		// A class that went out of the rules goes with its last job.
		if state.used == 0 && state.waiting() == 0 {
			delete(c.classes, class)
		}
	}
	for class, count := range guaranteed {
		state := c.stateOf(class)
		state.guaranteed, state.configured = count, true
	}
	c.dispatch()
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

// waitLimit is how long a job may wait. One that is turned away later than a
// quarter of its aim has too little left to be served in time elsewhere.
func (r Request) waitLimit() time.Duration {
	if r.Target > 0 {
		return min(r.MaxWait, r.Target/4)
	}
	return r.MaxWait
}

// Acquire takes a slot, waiting for one within the ask's bounds. Any other
// outcome than In means that the job got none. Leave wants the same ask.
func (c *Controller) Acquire(ctx context.Context, request Request) string {
	c.mu.Lock()
	if c.draining {
		c.mu.Unlock()
		return Draining
	}
	state := c.classes[request.Class]
	if state == nil || !state.configured {
		c.mu.Unlock()
		return UnknownClass
	}
	c.recordArrival(request.Nested)
	// Fewer slots kept back may be a turn for one who waits.
	if c.inUse < c.slots {
		c.dispatch()
	}
	queue, ahead, limit := &state.direct, state.waiting(), c.queueLimit
	if request.Nested {
		// A slot stands still elsewhere as long as an inner job waits, so its
		// queue is a little longer.
		queue, ahead, limit = &state.nested, state.nested.length, c.queueLimit+max(c.queueLimit/4, 1)
	}
	if ahead == 0 && c.canAdmit(state, request.Nested) {
		c.admit(state, request.Nested)
		c.mu.Unlock()
		return Admitted
	}
	// A job that can't hope for a slot in its time is told so at once. Only those
	// that go before it are in its way; the queue as a whole is bounded besides.
	wait := request.waitLimit()
	deadline := time.Now().Add(wait)
	before := ahead - queue.length + queue.countBefore(request.Priority, deadline)
	if before >= limit || ahead >= 4*limit || c.estimateWaitWithMargin(state, before) > wait {
		state.refused++
		c.mu.Unlock()
		return QueueFull
	}
	queued := &waiter{nested: request.Nested, priority: request.Priority, deadline: deadline, admitted: make(chan struct{})}
	queue.add(queued)
	drainStarted := c.drainStarted
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	outcome := NoTimeLeft
	select {
	case <-queued.admitted:
		return Admitted
	case <-drainStarted:
		outcome = Draining
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The slot may have come just now; then it is taken after all.
	if queued.hasSlot {
		return Admitted
	}
	queued.queue.remove(queued)
	state.refused++
	return outcome
}

// recordArrival notes what part of the jobs are inner ones.
func (c *Controller) recordArrival(nested bool) {
	value := 0.0
	if nested {
		value = 1
	}
	c.nestedShare += (value - c.nestedShare) / (2 * holdTimeSamples)
}

// reservedForNested is how many free slots are kept back for inner jobs: as many as come
// usually and are not inside, an eighth of the slots at the most.
func (c *Controller) reservedForNested() int {
	return max(min(int(math.Round(c.nestedShare*float64(c.slots))), c.slots/8)-c.nestedInUse, 0)
}

// canAdmit tells whether a class's job may have a slot now. What is kept back is
// kept from those who would borrow it, never from a class below its share.
func (c *Controller) canAdmit(state *classState, nested bool) bool {
	available := c.slots - c.inUse
	if !nested && state.used >= state.guaranteed {
		available -= c.reservedForNested()
	}
	return available > 0
}

func (c *Controller) admit(state *classState, nested bool) {
	state.used++
	c.inUse++
	state.startSum += c.nowMicros()
	if nested {
		c.nestedInUse++
	}
}

// Release gives a slot back after a job that took some time.
func (c *Controller) Release(request Request, held time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateOf(request.Class)
	state.used--
	c.inUse--
	if request.Nested {
		c.nestedInUse--
	}
	state.served++
	state.startSum -= c.nowMicros() - held.Microseconds()
	if state.used == 0 {
		state.startSum = 0
	}
	state.holdTime.add(held)
	c.dispatch()
}

// dispatch hands free slots to waiters: first to the class that is furthest below
// its share, then to the one that has borrowed least.
func (c *Controller) dispatch() {
	for c.inUse < c.slots {
		var best *classState
		bestClass, lowestUsage := "", math.Inf(1)
		for class, state := range c.classes {
			waiting := state.nextWaiter()
			if waiting == nil || !c.canAdmit(state, waiting.nested) {
				continue
			}
			// Below its share the rank is under 1; a class without a share
			// comes after all the others.
			usage := math.MaxFloat64
			if state.guaranteed > 0 {
				usage = float64(state.used) / float64(state.guaranteed)
			}
			if usage < lowestUsage || (usage == lowestUsage && (best == nil || class < bestClass)) {
				best, bestClass, lowestUsage = state, class, usage
			}
		}
		if best == nil {
			return
		}
		waiting := best.nextWaiter()
		waiting.queue.remove(waiting)
		waiting.hasSlot = true
		c.admit(best, waiting.nested)
		close(waiting.admitted)
	}
}
