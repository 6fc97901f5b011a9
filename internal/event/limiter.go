package event

import (
	"sync"
	"time"
)

// Limiter bounds how often one kind of event is written: the first within a
// span is, the others are counted, and the next one written tells how many.
type Limiter struct {
	span    time.Duration
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// NewLimiter makes a limiter that lets one event of its kind through in a span.
func NewLimiter(span time.Duration) *Limiter { return &Limiter{span: span} }

// Emit writes an event, or counts it where another was written less than a span
// ago. An event that is written carries the count of those before it as "more".
func (l *Limiter) Emit(log *Log, k Kind, pairs ...any) {
	l.mu.Lock()
	now := time.Now()
	if !l.last.IsZero() && now.Sub(l.last) < l.span {
		l.skipped++
		l.mu.Unlock()
		return
	}
	more := l.skipped
	l.last, l.skipped = now, 0
	l.mu.Unlock()
	log.Emit(k, append(pairs, "more", more)...)
}
