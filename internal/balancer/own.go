package balancer

import (
	"math"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/ormap"
)

// MaxSuspicion is the greatest of an owner's doubts about its worker; 0 is none.
const MaxSuspicion = 2

// SuspicionLevel reads an owner's doubts about its worker from its entry.
func SuspicionLevel(e ormap.Entry) int {
	d, err := strconv.Atoi(e.Meta["doubts"])
	if err != nil {
		return 0
	}
	return min(max(d, 0), MaxSuspicion)
}

// WorkerReport is what an owner's receipt says of its worker, coarsely, to cost few
// bytes: Pace in eighths, 0 when nothing is said; Fail in 64ths of its jobs.
type WorkerReport struct{ PaceEighths, FailedPer64 uint8 }

func (w WorkerReport) pace() float64    { return float64(w.PaceEighths) / 8 }
func (w WorkerReport) failing() float64 { return float64(w.FailedPer64) / 64 }

// WorkerStats is an owner's measure of its worker, which sees all of its jobs.
type WorkerStats struct {
	mu     sync.Mutex
	window time.Duration
	fail   float64         // part of the last jobs that failed, smoothed
	pace   float64         // how long jobs run against those of its like
	slack  float64         // how long jobs run against the longer of its like and its own past
	past   map[string]mean // by path, ms that a job ran here over a long time
	count  int
	doubts int
	since  time.Time // of the last change of the doubts
	seen   time.Time // of the last job
	fell   time.Time // when the doubts last came up
	falls  int       // how often they did of late
	cold   time.Time // until when the worker said that it is slow
	runs   map[*ActiveRun]bool
}

// NewWorkerStats makes the measure of a worker; window is the time in whose ratio a
// worker is let back.
func NewWorkerStats(window time.Duration) *WorkerStats {
	return &WorkerStats{window: window, pace: 1, slack: 1, past: map[string]mean{}, runs: map[*ActiveRun]bool{}}
}

// SetWarmup notes how much longer the worker says to be slow from its start.
func (o *WorkerStats) SetWarmup(long time.Duration) {
	o.mu.Lock()
	o.cold = time.Now().Add(long)
	o.mu.Unlock()
}

// WarmingUp tells whether the worker says that it is still slow from its start.
func (o *WorkerStats) WarmingUp() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.cold)
}

// ActiveRun is a job under way at the worker.
type ActiveRun struct {
	from  time.Time
	usual float64
}

// RunStarted notes that a job goes to the worker; usual is what its like takes at
// all workers, in ms, 0 when that isn't known.
func (o *WorkerStats) RunStarted(usual float64) *ActiveRun {
	r := &ActiveRun{time.Now(), usual}
	o.mu.Lock()
	o.runs[r] = true
	o.mu.Unlock()
	return r
}

// RunEnded notes that a job is no longer under way, and gives how long it was, in ms.
func (o *WorkerStats) RunEnded(r *ActiveRun) float64 {
	o.mu.Lock()
	delete(o.runs, r)
	o.mu.Unlock()
	return float64(time.Since(r.from)) / float64(time.Millisecond)
}

// hangs tells that half of the jobs under way, and more than one, run for so
// long that they may never end. mu is held.
func (o *WorkerStats) hangs(now time.Time) bool {
	n := 0
	for r := range o.runs {
		if r.usual > 0 && float64(now.Sub(r.from))/float64(time.Millisecond) > 4*r.usual {
			n++
		}
	}
	return n > 1 && 2*n >= len(o.runs)
}

// step is how much one job counts: the more the fewer there are, since a
// doubted worker gets but a few. mu is held.
func (o *WorkerStats) step() float64 { return 1 / float64(int(16)>>o.doubts) }

// RecordFailures takes in failures, as many as the event is worth.
func (o *WorkerStats) RecordFailures(jobs int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count += jobs
	o.fail = 1 - (1-o.fail)*math.Pow(1-o.step(), float64(jobs))
	o.seen = time.Now()
}

// RecordRun takes in a job that ended well, or that did not end in ms; usual is what
// jobs of its path take at all workers, in ms, 0 when that isn't known.
func (o *WorkerStats) RecordRun(path string, ms, usual float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count++
	k := o.step()
	o.fail -= o.fail * k
	o.seen = time.Now()
	p, ok := o.past[path]
	if !ok && len(o.past) >= 1024 {
		clear(o.past)
	}
	// Its past moves slowly, so that some seconds of slowness do not become it.
	p.add(ms, 2, 1024)
	o.past[path] = p
	was := p.ms
	// Where its peers aren't known it isn't judged: jobs that wait for another
	// service take longer at all of them.
	if usual <= 0 || was <= 0 {
		return
	}
	o.pace += (min(ms/usual, 4) - o.pace) * k
	o.slack += (min(ms/max(usual, was), 4) - o.slack) * k
}

// Report is what the next receipt says.
func (o *WorkerStats) Report() WorkerReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count < least {
		return WorkerReport{}
	}
	return WorkerReport{PaceEighths: uint8(min(max(math.Round(o.pace*8), 1), 64)), FailedPer64: uint8(math.Round(o.fail * 64))}
}

// Suspicion is what all fronts should know of the worker: large changes only. The
// part of failures counts beyond what fails at its peers too, which common is.
// Doubts come by what enough jobs showed, and go by that or with time.
func (o *WorkerStats) Suspicion(common float64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	fail := max(o.fail-common, 0) / max(1-common, 0.1)
	at, keep := 0, 0 // doubts that come by the figures, and those that stay
	if o.count >= least {
		at = rank(fail, o.slack, 0.15, 0.3, 2.2, 3)
		keep = rank(fail, o.slack, 0.07, 0.2, 1.6, 2.5)
	}
	// Those that hang tell nothing until their time is over.
	if o.hangs(now) {
		at, keep, o.seen = MaxSuspicion, MaxSuspicion, now
	}
	if now.Before(o.cold) {
		at, keep = max(at, 1), max(keep, 1)
	}
	long := o.window / 16 << o.falls
	// What nobody asks shows nothing: within a window it is asked again, however
	// often it fell. Of one that failed always doubts go in three steps.
	dark := min(4*long, o.window/3)
	switch {
	case at > o.doubts:
		if o.doubts == 0 {
			if o.falls++; o.fell.IsZero() || now.Sub(o.fell) > 4*o.window {
				o.falls = 0
			}
			o.falls, o.fell = min(o.falls, 3), now
		}
		o.doubts, o.since = at, now
	case keep < o.doubts && now.Sub(o.since) > long:
		o.doubts, o.since = keep, now
	case o.doubts > 0 && now.Sub(o.seen) > dark && now.Sub(o.since) > dark && !now.Before(o.cold):
		// Nobody asks it any more, as where no job may be sent again.
		o.doubts, o.since = o.doubts-1, now
		o.fail, o.slack, o.pace = o.fail/2, 1+(o.slack-1)/2, 1+(o.pace-1)/2
	}
	return o.doubts
}

// rank turns failures and slowness into doubts.
func rank(fail, slack, some, many, slow, slower float64) int {
	switch {
	case fail >= many || slack >= slower:
		return MaxSuspicion
	case fail >= some || slack >= slow:
		return 1
	}
	return 0
}
