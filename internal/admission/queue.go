package admission

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	admitted   chan struct{}
	hasSlot    bool
	nested     bool
	priority   int // lower values go first
	queue      *waitQueue
	deadline   time.Time // when it stops waiting
	prev, next *waiter
}

// waitQueue orders waiters by priority, lower values first, however long the others
// have waited. Within a priority the one with the earliest deadline goes first, and
// among equal deadlines the one that came first: a slot serves one request either
// way. A waiter that gives up is unlinked without a search.
type waitQueue struct {
	first, last *waiter
	length      int
}

func (q *waitQueue) add(added *waiter) {
	before := q.last
	for before != nil && before.comesAfter(added.priority, added.deadline) {
		before = before.prev
	}
	added.queue, added.prev = q, before
	if before != nil {
		added.next, before.next = before.next, added
	} else {
		added.next, q.first = q.first, added
	}
	if added.next != nil {
		added.next.prev = added
	} else {
		q.last = added
	}
	q.length++
}

// comesAfter reports whether a waiter goes after a new one.
func (w *waiter) comesAfter(priority int, deadline time.Time) bool {
	if w.priority != priority {
		return w.priority > priority
	}
	return w.deadline.After(deadline)
}

// countBefore returns the number of waiters that go before a new one.
func (q *waitQueue) countBefore(priority int, deadline time.Time) int {
	count := q.length
	for current := q.last; current != nil && current.comesAfter(priority, deadline); current = current.prev {
		count--
	}
	return count
}

func (q *waitQueue) remove(removed *waiter) {
	if removed.prev != nil {
		removed.prev.next = removed.next
	} else {
		q.first = removed.next
	}
	if removed.next != nil {
		removed.next.prev = removed.prev
	} else {
		q.last = removed.prev
	}
	removed.prev, removed.next, removed.queue = nil, nil, nil
	q.length--
}

// classState is the state of one class.
type classState struct {
	guaranteed int
	configured bool // the class is part of the current configuration
	used       int
	nested     waitQueue // requests whose callers hold a slot elsewhere; they go first
	direct     waitQueue
	refused    int64
	served     int64
	holdTime   holdTime
	startSum   int64 // sum of the start times of running requests, in microseconds
}

func (s *classState) waiting() int { return s.nested.length + s.direct.length }

// nextWaiter returns the waiter that gets the class's next slot, or nil.
func (s *classState) nextWaiter() *waiter {
	if s.nested.first != nil {
		return s.nested.first
	}
	return s.direct.first
}
