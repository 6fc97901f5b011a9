package retrybudget

import (
	"sort"
	"time"
)

// send is one send, with the sum of all weights up to it.
type send struct {
	at         time.Time
	cumulative float64
}

// sendLog is the sends of one kind within the window, oldest first. A send may
// count in part, when it is not certain of which kind it is.
type sendLog struct {
	sends []send
	base  float64 // the sum of what left the window
}

// add puts a weight at the end.
func (l *sendLog) add(at time.Time, weight float64) {
	l.sends = append(l.sends, send{at, l.cumulative() + weight})
}

func (l *sendLog) cumulative() float64 {
	if count := len(l.sends); count > 0 {
		return l.sends[count-1].cumulative
	}
	return l.base
}

// firstAfter finds the first mark after a moment.
func (l *sendLog) firstAfter(at time.Time) int {
	return sort.Search(len(l.sends), func(i int) bool { return l.sends[i].at.After(at) })
}

// dropUntil lets go of what was sent up to a moment.
func (l *sendLog) dropUntil(until time.Time) {
	if index := l.firstAfter(until); index > 0 {
		l.base, l.sends = l.sends[index-1].cumulative, l.sends[index:]
	}
	// An empty tape begins anew, so that sums never grow too large to be exact.
	if len(l.sends) == 0 {
		l.base = 0
	}
}

// total is the weight of the window.
func (l *sendLog) total() float64 { return l.cumulative() - l.base }

// since is the weight after a moment.
func (l *sendLog) since(at time.Time) float64 {
	if index := l.firstAfter(at); index > 0 {
		return l.cumulative() - l.sends[index-1].cumulative
	}
	return l.total()
}
