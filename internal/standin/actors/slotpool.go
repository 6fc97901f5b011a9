package actors

import (
	"sync"
	"time"
)

// slotPool is a worker's slots and its short queue.
type slotPool struct {
	mu      sync.Mutex
	slots   int
	queue   int
	inUse   int
	waiters []chan struct{}
	peak    int
}

// admission is how an attempt to enter ended.
type admission int

const (
	admitted admission = iota
	queueFull
	timedOut
	callerGone
)

// acquire takes a slot, or waits for one in the queue until the time is up or
// the caller is gone.
func (r *slotPool) acquire(deadline time.Time, callerLeft <-chan struct{}) admission {
	r.mu.Lock()
	if r.inUse < r.slots && len(r.waiters) == 0 {
		r.occupy()
		r.mu.Unlock()
		return admitted
	}
	if len(r.waiters) >= r.queue {
		r.mu.Unlock()
		return queueFull
	}
	granted := make(chan struct{}, 1)
	r.waiters = append(r.waiters, granted)
	r.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	result := timedOut
	select {
	case <-granted:
		return admitted
	case <-timer.C:
	case <-callerLeft:
		result = callerGone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, waiter := range r.waiters {
		if waiter == granted {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return result
		}
	}
	// The slot came in the same moment: it goes to the next.
	r.releaseLocked()
	return result
}

func (r *slotPool) occupy() {
	r.inUse++
	r.peak = max(r.peak, r.inUse)
}

func (r *slotPool) release() {
	r.mu.Lock()
	r.releaseLocked()
	r.mu.Unlock()
}

func (r *slotPool) releaseLocked() {
	r.inUse--
	if len(r.waiters) > 0 && r.inUse < r.slots {
		r.occupy()
		r.waiters[0] <- struct{}{}
		r.waiters = r.waiters[1:]
	}
}

// acquireForced takes a slot whether one is free or not, as a handshake does.
func (r *slotPool) acquireForced() {
	r.mu.Lock()
	r.inUse++
	r.mu.Unlock()
}

func (r *slotPool) load() (inUse, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse, len(r.waiters)
}
