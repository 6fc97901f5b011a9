package admission

import "time"

// waiter is one job that waits for a slot.
type waiter struct {
	go_         chan struct{}
	in          bool
	inner       bool
	rank        int // those of a lower one go first
	line        *line
	due         time.Time // when its wait is over
	prev, later *waiter
}

// line is waiters in the order in which their waits end: whoever can wait least
// goes first, and among equals whoever came first. Those of a
// higher rank go after all of a lower one, however long they waited: a slot
// serves one job either way. One that gives up leaves from wherever it stands,
// without a walk over the others.
type line struct {
	first, last *waiter
	long        int
}

func (l *line) add(w *waiter) {
	at := l.last
	for at != nil && at.behind(w.rank, w.due) {
		at = at.prev
	}
	w.line, w.prev = l, at
	if at != nil {
		w.later, at.later = at.later, w
	} else {
		w.later, l.first = l.first, w
	}
	if w.later != nil {
		w.later.prev = w
	} else {
		l.last = w
	}
	l.long++
}

// behind tells whether a waiter goes after a new one.
func (w *waiter) behind(rank int, due time.Time) bool {
	if w.rank != rank {
		return w.rank > rank
	}
	return w.due.After(due)
}

// before counts the waiters that go before one whose wait ends at a time.
func (l *line) before(rank int, due time.Time) int {
	n := l.long
	for at := l.last; at != nil && at.behind(rank, due); at = at.prev {
		n--
	}
	return n
}

func (l *line) drop(w *waiter) {
	if w.prev != nil {
		w.prev.later = w.later
	} else {
		l.first = w.later
	}
	if w.later != nil {
		w.later.prev = w.prev
	} else {
		l.last = w.prev
	}
	w.prev, w.later, w.line = nil, nil, nil
	l.long--
}

// lot is what one class has in a room.
type lot struct {
	floor  int
	known  bool // the rules have the class
	used   int
	inner  line // calls of jobs that hold a slot elsewhere go first
	outer  line
	no     int64
	did    int64
	pace   pace
	starts int64 // sum of the starts of the jobs inside, in us since the room's birth
}

func (l *lot) waits() int { return l.inner.long + l.outer.long }

// next is the waiter whose turn it is.
func (l *lot) next() *waiter {
	if l.inner.first != nil {
		return l.inner.first
	}
	return l.outer.first
}
