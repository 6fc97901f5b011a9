package retrybudget

import (
	"sort"
	"time"
)

// attempt is the time of one attempt, and the sum of all weights up to it.
type attempt struct {
	at         time.Time
	cumulative float64
}

// attemptLog holds the attempts of one kind within the window, oldest first. An
// attempt has a weight below 1 if it is uncertain of which kind it is.
type attemptLog struct {
	attempts []attempt
	base     float64 // sum of the weights that have left the window
}

// add appends an attempt with the given weight.
func (l *attemptLog) add(at time.Time, weight float64) {
	l.attempts = append(l.attempts, attempt{at, l.cumulative() + weight})
}

func (l *attemptLog) cumulative() float64 {
	if count := len(l.attempts); count > 0 {
		return l.attempts[count-1].cumulative
	}
	return l.base
}

// firstAfter returns the index of the first attempt after a time.
func (l *attemptLog) firstAfter(at time.Time) int {
	return sort.Search(len(l.attempts), func(i int) bool { return l.attempts[i].at.After(at) })
}

// dropUntil removes the attempts up to a time.
func (l *attemptLog) dropUntil(until time.Time) {
	if index := l.firstAfter(until); index > 0 {
		l.base, l.attempts = l.attempts[index-1].cumulative, l.attempts[index:]
	}
	// An empty log restarts its sums at 0, so that they never grow too large to be
	// exact.
	if len(l.attempts) == 0 {
		l.base = 0
	}
}

// total is the weight of all attempts in the log.
func (l *attemptLog) total() float64 { return l.cumulative() - l.base }

// since is the weight of the attempts after a time.
func (l *attemptLog) since(at time.Time) float64 {
	if index := l.firstAfter(at); index > 0 {
		return l.cumulative() - l.attempts[index-1].cumulative
	}
	return l.total()
}
