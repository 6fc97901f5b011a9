package event

import (
	"sync"
	"time"
)

// Limiter bounds how often one kind of event is written. The first event within an interval is
// written, the others are counted, and the next one written carries their number.
type Limiter struct {
	interval   time.Duration
	mu         sync.Mutex
	last       time.Time
	suppressed int
}

// NewLimiter creates a limiter that lets one event through in each interval.
func NewLimiter(interval time.Duration) *Limiter { return &Limiter{interval: interval} }

// Emit writes an event, or only counts it when another was written less than an interval ago. A
// written event carries the number of suppressed events before it as "more".
func (l *Limiter) Emit(log *Log, kind Kind, pairs ...any) {
	l.mu.Lock()
	now := time.Now()
	if !l.last.IsZero() && now.Sub(l.last) < l.interval {
		l.suppressed++
		l.mu.Unlock()
		return
	}
	suppressed := l.suppressed
	l.last, l.suppressed = now, 0
	l.mu.Unlock()
	log.Emit(kind, append(pairs, "more", suppressed)...)
}
