package actors

import (
	"sync"
	"time"
)

// room is a worker's slots and its short queue.
type room struct {
	mu    sync.Mutex
	slots int
	queue int
	now   int
	wait  []chan struct{}
	most  int
}

// entry is how an attempt to enter ended.
type entry int

const (
	in entry = iota
	full
	late
	gone
)

// enter takes a slot, or waits for one in the queue until the time is up or
// the caller is gone.
func (r *room) enter(end time.Time, left <-chan struct{}) entry {
	r.mu.Lock()
	if r.now < r.slots && len(r.wait) == 0 {
		r.take()
		r.mu.Unlock()
		return in
	}
	if len(r.wait) >= r.queue {
		r.mu.Unlock()
		return full
	}
	c := make(chan struct{}, 1)
	r.wait = append(r.wait, c)
	r.mu.Unlock()
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	out := late
	select {
	case <-c:
		return in
	case <-t.C:
	case <-left:
		out = gone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.wait {
		if o == c {
			r.wait = append(r.wait[:i], r.wait[i+1:]...)
			return out
		}
	}
	// The slot came in the same moment: it goes to the next.
	r.leaveLocked()
	return out
}

func (r *room) take() {
	r.now++
	r.most = max(r.most, r.now)
}

func (r *room) leave() {
	r.mu.Lock()
	r.leaveLocked()
	r.mu.Unlock()
}

func (r *room) leaveLocked() {
	r.now--
	if len(r.wait) > 0 && r.now < r.slots {
		r.take()
		r.wait[0] <- struct{}{}
		r.wait = r.wait[1:]
	}
}

// press takes a slot whether one is free or not, as a handshake does.
func (r *room) press() {
	r.mu.Lock()
	r.now++
	r.mu.Unlock()
}

func (r *room) load() (now, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now, len(r.wait)
}
