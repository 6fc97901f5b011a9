// Package admission admits requests to the slots of one worker. A class below its
// share always gets the next free slot; an idle share is lent to other classes; a
// lent slot comes back when its request ends, never by aborting it.
package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Controller manages the slots of one worker. mu guards all mutable fields.
type Controller struct {
	mu             sync.Mutex
	created        time.Time
	slots          int
	queueLimit     int
	inUse          int
	classes        map[string]*classState
	nestedShare    float64 // smoothed fraction of the requests that are nested
	nestedInUse    int     // slots held by nested requests
	draining       bool
	closedForDrain chan struct{}
	random         func() float64
}

// New returns a Controller without slots; Configure sets them.
func New() *Controller {
	return &Controller{created: time.Now(), classes: map[string]*classState{}, closedForDrain: make(chan struct{}), random: rand.Float64}
}

// nowMicros is the time since the controller was created, in microseconds, so that
// sums of it over all slots are far from overflowing.
func (c *Controller) nowMicros() int64 { return time.Since(c.created).Microseconds() }

// stateOf returns the state of a class, and creates it if necessary.
func (c *Controller) stateOf(class string) *classState {
	state := c.classes[class]
	if state == nil {
		state = &classState{}
		c.classes[class] = state
	}
	return state
}

// Configure sets the slots, the percentage share of each class, and the limit on
// each queue. Running requests keep their slots; waiting ones are reconsidered.
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
		// A class that is no longer configured is kept until its last request has
		// ended.
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

// The outcomes of Acquire.
const (
	Admitted     = ""
	QueueFull    = "queue full"
	NoTimeLeft   = "no time left in the queue"
	Draining     = "draining"
	UnknownClass = "no such class"
)

// Request describes a request that needs a slot.
type Request struct {
	Class    string
	MaxWait  time.Duration // the longest time that it may wait for a slot
	Target   time.Duration // time until its target is missed, a quarter of which it may wait; 0 or less: no target
	Nested   bool          // the caller itself is a request that holds a slot elsewhere
	Priority int           // lower values go first in a queue
}

// waitLimit is how long a request may wait. If it were refused later than after a
// quarter of its target, too little time would remain to serve it elsewhere.
func (r Request) waitLimit() time.Duration {
	if r.Target > 0 {
		return min(r.MaxWait, r.Target/4)
	}
	return r.MaxWait
}

// Acquire takes a slot, waiting within the limits of the request. After any outcome
// but Admitted the request has no slot. Release needs the same Request.
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
	// With the arrival recorded, fewer slots may be reserved than before.
	if c.inUse < c.slots {
		c.dispatch()
	}
	queue, ahead, limit := &state.direct, state.waiting(), c.queueLimit
	if request.Nested {
		// While a nested request waits, a slot is blocked elsewhere, so its queue
		// may be a little longer.
		queue, ahead, limit = &state.nested, state.nested.length, c.queueLimit+max(c.queueLimit/4, 1)
	}
	if ahead == 0 && c.canAdmit(state, request.Nested) {
		c.admit(state, request.Nested)
		c.mu.Unlock()
		return Admitted
	}
	// A request that is not expected to get a slot in time is refused at once. Only
	// those queued before it delay it; the whole queue is limited separately.
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
	closedForDrain := c.closedForDrain
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	outcome := NoTimeLeft
	select {
	case <-queued.admitted:
		return Admitted
	case <-closedForDrain:
		outcome = Draining
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A slot that was assigned in the meantime is kept.
	if queued.hasSlot {
		return Admitted
	}
	queued.queue.remove(queued)
	state.refused++
	return outcome
}

// recordArrival updates the fraction of nested requests.
func (c *Controller) recordArrival(nested bool) {
	value := 0.0
	if nested {
		value = 1
	}
	c.nestedShare += (value - c.nestedShare) / (2 * holdTimeSamples)
}

// reservedForNested is the number of free slots reserved for nested requests: their
// usual number less those running, up to an eighth of all slots.
func (c *Controller) reservedForNested() int {
	return max(min(int(math.Round(c.nestedShare*float64(c.slots))), c.slots/8)-c.nestedInUse, 0)
}

// canAdmit reports whether a request of a class may have a slot now. Reserved slots
// are withheld from borrowers, never from a class below its share.
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

// Release returns the slot of a request that held it for the given time.
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

// dispatch assigns free slots to waiting requests: first of the class that is
// furthest below its share, then of the one that has borrowed least. mu is held.
func (c *Controller) dispatch() {
	for c.inUse < c.slots {
		var best *classState
		bestClass, lowestUsage := "", math.Inf(1)
		for class, state := range c.classes {
			waiting := state.nextWaiter()
			if waiting == nil || !c.canAdmit(state, waiting.nested) {
				continue
			}
			// The ratio is below 1 for a class below its share. A class without a
			// share comes last.
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
