package actors

import (
	"sync"
	"time"
)

// slotPool is a worker's execution slots with a bounded queue.
type slotPool struct {
	mu      sync.Mutex
	slots   int
	queue   int
	inUse   int
	waiters []chan struct{}
	peak    int
}

// admission is the result of waiting for a slot.
type admission int

const (
	admitted admission = iota
	queueFull
	timedOut
	callerGone
)

// acquire takes a slot, or waits for one in the queue until the deadline or until the caller
// leaves.
func (p *slotPool) acquire(deadline time.Time, callerLeft <-chan struct{}) admission {
	p.mu.Lock()
	if p.inUse < p.slots && len(p.waiters) == 0 {
		p.occupy()
		p.mu.Unlock()
		return admitted
	}
	if len(p.waiters) >= p.queue {
		p.mu.Unlock()
		return queueFull
	}
	granted := make(chan struct{}, 1)
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
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
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, waiter := range p.waiters {
		if waiter == granted {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return result
		}
	}
	// The slot was granted at the same time: pass it on to the next waiter.
	p.releaseLocked()
	return result
}

func (p *slotPool) occupy() {
	p.inUse++
	p.peak = max(p.peak, p.inUse)
}

func (p *slotPool) release() {
	p.mu.Lock()
	p.releaseLocked()
	p.mu.Unlock()
}

func (p *slotPool) releaseLocked() {
	p.inUse--
	if len(p.waiters) > 0 && p.inUse < p.slots {
		p.occupy()
		p.waiters[0] <- struct{}{}
		p.waiters = p.waiters[1:]
	}
}

// acquireForced takes a slot even if none is free, as the handshake of a new connection does.
func (p *slotPool) acquireForced() {
	p.mu.Lock()
	p.inUse++
	p.mu.Unlock()
}

func (p *slotPool) load() (inUse, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, len(p.waiters)
}
