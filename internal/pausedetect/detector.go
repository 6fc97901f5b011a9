// Package pausedetect detects that the process was paused, by a gap between its
// periodic ticks on the monotonic clock. Code that relies on information received
// earlier must call LastPauseEnd first, because the tick itself may run late after
// a pause.
package pausedetect

import (
	"context"
	"sync"
	"time"
)

// Detector detects pauses of the process that it runs in.
type Detector struct {
	mu        sync.Mutex
	interval  time.Duration
	tolerance time.Duration
	lastTick  time.Time
	pauseEnd  time.Time
	onPause   func(gap time.Duration)
}

// New creates a detector that ticks once per interval. A gap longer than interval
// plus tolerance counts as a pause; onPause, if not nil, is called once for each.
func New(interval, tolerance time.Duration, onPause func(time.Duration)) *Detector {
	return &Detector{interval: interval, tolerance: tolerance, lastTick: time.Now(), onPause: onPause}
}

// Run ticks until the context ends; sleep waits for one interval.
func (d *Detector) Run(ctx context.Context, sleep func(context.Context, time.Duration)) {
	for ctx.Err() == nil {
		sleep(ctx, d.interval)
		d.check(true)
	}
}

// LastPauseEnd returns the end of the most recent pause, or the zero time if there
// was none. The first check after a pause detects it, whether that is the tick or
// this call.
func (d *Detector) LastPauseEnd() time.Time { return d.check(false) }

func (d *Detector) check(tick bool) time.Time {
	d.mu.Lock()
	now := time.Now()
	elapsed := now.Sub(d.lastTick)
	paused := elapsed > d.interval+d.tolerance
	if paused {
		d.pauseEnd = now
	}
	// Calls of LastPauseEnd come at arbitrary times, so only ticks mark progress.
	if tick || paused {
		d.lastTick = now
	}
	pauseEnd := d.pauseEnd
	d.mu.Unlock()
	if paused && d.onPause != nil {
		d.onPause(elapsed)
	}
	return pauseEnd
}
