package admission

import "time"

// waiter is one job that waits for a slot.
type waiter struct {
	admitted   chan struct{}
	hasSlot    bool
	nested     bool
	priority   int // those of a lower one go first
	queue      *waitQueue
	deadline   time.Time // when its wait is over
	prev, next *waiter
}

// waitQueue is waiters in the order in which their waits end: whoever can wait least
// goes first, and among equals whoever came first. Those of a
// higher rank go after all of a lower one, however long they waited: a slot
// serves one job either way. One that gives up leaves from wherever it stands,
// without a walk over the others.
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

// comesAfter tells whether a waiter goes after a new one.
func (w *waiter) comesAfter(priority int, deadline time.Time) bool {
	if w.priority != priority {
		return w.priority > priority
	}
	return w.deadline.After(deadline)
}

// countBefore counts the waiters that go before one whose wait ends at a time.
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

// classState is what one class has in a room.
type classState struct {
	guaranteed int
	configured bool // the rules have the class
	used       int
	nested     waitQueue // calls of jobs that hold a slot elsewhere go first
	direct     waitQueue
	refused    int64
	served     int64
	holdTime   holdTime
	startSum   int64 // sum of the starts of the jobs inside, in us since the room's birth
}

func (s *classState) waiting() int { return s.nested.length + s.direct.length }

// nextWaiter is the waiter whose turn it is.
func (s *classState) nextWaiter() *waiter {
	if s.nested.first != nil {
		return s.nested.first
	}
	return s.direct.first
}
