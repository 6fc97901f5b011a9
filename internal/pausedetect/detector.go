// Package pausedetect tells a process that it was frozen: its own ticks on the
// monotonic clock have a gap. Whoever acts on what it heard before asks here
// first, since the tick itself may be late to notice.
package pausedetect

import (
	"context"
	"sync"
	"time"
)

// Detector is one process's watch over its own ticks.
type Detector struct {
	mu        sync.Mutex
	interval  time.Duration
	tolerance time.Duration
	lastTick  time.Time
	pauseEnd  time.Time
	onPause   func(gap time.Duration)
}

// New makes a pulse that ticks at each beat; a pause longer than the beat and
// the gap counts as a freeze, and tell hears of it once.
func New(interval, tolerance time.Duration, onPause func(time.Duration)) *Detector {
	return &Detector{interval: interval, tolerance: tolerance, lastTick: time.Now(), onPause: onPause}
}

// Run is the loop of ticks.
func (d *Detector) Run(ctx context.Context, sleep func(context.Context, time.Duration)) {
	for ctx.Err() == nil {
		sleep(ctx, d.interval)
		d.check(true)
	}
}

// LastPauseEnd gives the end of the newest freeze, zero when there was none. The
// first to look after a freeze finds it, be it the tick or a job.
func (d *Detector) LastPauseEnd() time.Time { return d.check(false) }

func (d *Detector) check(tick bool) time.Time {
	d.mu.Lock()
	now := time.Now()
	elapsed := now.Sub(d.lastTick)
	paused := elapsed > d.interval+d.tolerance
	if paused {
		d.pauseEnd = now
	}
	// Only a tick is a sign of life: questions come at any time.
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
