package retrybudget

import (
	"sort"
	"time"
)

// mark is one send, with the sum of all weights up to it.
type mark struct {
	at  time.Time
	sum float64
}

// tape is the sends of one kind within the window, oldest first. A send may
// count in part, when it is not certain of which kind it is.
type tape struct {
	marks []mark
	base  float64 // the sum of what left the window
}

// add puts a weight at the end.
func (l *tape) add(at time.Time, w float64) { l.marks = append(l.marks, mark{at, l.sum() + w}) }

func (l *tape) sum() float64 {
	if n := len(l.marks); n > 0 {
		return l.marks[n-1].sum
	}
	return l.base
}

// past finds the first mark after a moment.
func (l *tape) past(at time.Time) int {
	return sort.Search(len(l.marks), func(i int) bool { return l.marks[i].at.After(at) })
}

// cut lets go of what was sent up to a moment.
func (l *tape) cut(from time.Time) {
	if n := l.past(from); n > 0 {
		l.base, l.marks = l.marks[n-1].sum, l.marks[n:]
	}
	// An empty tape begins anew, so that sums never grow too large to be exact.
	if len(l.marks) == 0 {
		l.base = 0
	}
}

// all is the weight of the window.
func (l *tape) all() float64 { return l.sum() - l.base }

// since is the weight after a moment.
func (l *tape) since(at time.Time) float64 {
	if n := l.past(at); n > 0 {
		return l.sum() - l.marks[n-1].sum
	}
	return l.all()
}
