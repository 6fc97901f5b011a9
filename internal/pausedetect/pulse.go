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
	mu   sync.Mutex
	beat time.Duration
	gap  time.Duration
	last time.Time
	woke time.Time
	tell func(gap time.Duration)
}

// New makes a pulse that ticks at each beat; a pause longer than the beat and
// the gap counts as a freeze, and tell hears of it once.
func New(beat, gap time.Duration, tell func(time.Duration)) *Detector {
	return &Detector{beat: beat, gap: gap, last: time.Now(), tell: tell}
}

// Run is the loop of ticks.
func (p *Detector) Run(ctx context.Context, pause func(context.Context, time.Duration)) {
	for ctx.Err() == nil {
		pause(ctx, p.beat)
		p.look(true)
	}
}

// LastPauseEnd gives the end of the newest freeze, zero when there was none. The
// first to look after a freeze finds it, be it the tick or a job.
func (p *Detector) LastPauseEnd() time.Time { return p.look(false) }

func (p *Detector) look(tick bool) time.Time {
	p.mu.Lock()
	now := time.Now()
	gap := now.Sub(p.last)
	froze := gap > p.beat+p.gap
	if froze {
		p.woke = now
	}
	// Only a tick is a sign of life: questions come at any time.
	if tick || froze {
		p.last = now
	}
	woke := p.woke
	p.mu.Unlock()
	if froze && p.tell != nil {
		p.tell(gap)
	}
	return woke
}
