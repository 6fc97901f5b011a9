package event

import (
	"sync"
	"time"
)

// Limiter bounds how often one kind of event is written: the first within a
// span is, the others are counted, and the next one written tells how many.
type Limiter struct {
	interval   time.Duration
	mu         sync.Mutex
	last       time.Time
	suppressed int
}

// NewLimiter makes a limiter that lets one event of its kind through in a span.
func NewLimiter(interval time.Duration) *Limiter { return &Limiter{interval: interval} }

// Emit writes an event, or counts it where another was written less than a span
// ago. An event that is written carries the count of those before it as "more".
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
