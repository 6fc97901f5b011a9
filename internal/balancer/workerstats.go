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
	level, err := strconv.Atoi(e.Meta["doubts"])
	if err != nil {
		return 0
	}
	return min(max(level, 0), MaxSuspicion)
}

// WorkerReport is what an owner's receipt says of its worker, coarsely, to cost few
// bytes: Pace in eighths, 0 when nothing is said; Fail in 64ths of its jobs.
type WorkerReport struct{ Pace, Fail uint8 }

func (w WorkerReport) runTimeRatio() float64 { return float64(w.Pace) / 8 }
func (w WorkerReport) failRate() float64     { return float64(w.Fail) / 64 }

// WorkerStats is an owner's measure of its worker, which sees all of its jobs.
type WorkerStats struct {
	mu             sync.Mutex
	window         time.Duration
	failRate       float64                // part of the last jobs that failed, smoothed
	runTimeRatio   float64                // how long jobs run against those of its like
	slowdown       float64                // how long jobs run against the longer of its like and its own past
	ownRunTimes    map[string]runningMean // by path, ms that a job ran here over a long time
	samples        int
	suspicion      int
	suspicionSince time.Time // of the last change of the doubts
	lastRun        time.Time // of the last job
	suspectedAt    time.Time // when the doubts last came up
	relapses       int       // how often they did of late
	warmupUntil    time.Time // until when the worker said that it is slow
	activeRuns     map[*ActiveRun]bool
}

// NewWorkerStats makes the measure of a worker; window is the time in whose ratio a
// worker is let back.
func NewWorkerStats(window time.Duration) *WorkerStats {
	return &WorkerStats{window: window, runTimeRatio: 1, slowdown: 1, ownRunTimes: map[string]runningMean{}, activeRuns: map[*ActiveRun]bool{}}
}

// SetWarmup notes how much longer the worker says to be slow from its start.
func (s *WorkerStats) SetWarmup(remaining time.Duration) {
	s.mu.Lock()
	s.warmupUntil = time.Now().Add(remaining)
	s.mu.Unlock()
}

// WarmingUp tells whether the worker says that it is still slow from its start.
func (s *WorkerStats) WarmingUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.warmupUntil)
}

// ActiveRun is a job under way at the worker.
type ActiveRun struct {
	started time.Time
	usualMS float64
}

// RunStarted notes that a job goes to the worker; usual is what its like takes at
// all workers, in ms, 0 when that isn't known.
func (s *WorkerStats) RunStarted(usualMS float64) *ActiveRun {
	run := &ActiveRun{time.Now(), usualMS}
	s.mu.Lock()
	s.activeRuns[run] = true
	s.mu.Unlock()
	return run
}

// RunEnded notes that a job is no longer under way, and gives how long it was, in ms.
func (s *WorkerStats) RunEnded(run *ActiveRun) float64 {
	s.mu.Lock()
	delete(s.activeRuns, run)
	s.mu.Unlock()
	return float64(time.Since(run.started)) / float64(time.Millisecond)
}

// mostlyHung tells that half of the jobs under way, and more than one, run for so
// long that they may never end. mu is held.
func (s *WorkerStats) mostlyHung(now time.Time) bool {
	hung := 0
	for run := range s.activeRuns {
		if run.usualMS > 0 && float64(now.Sub(run.started))/float64(time.Millisecond) > 4*run.usualMS {
			hung++
		}
	}
	return hung > 1 && 2*hung >= len(s.activeRuns)
}

// sampleWeight is how much one job counts: the more the fewer there are, since a
// doubted worker gets but a few. mu is held.
func (s *WorkerStats) sampleWeight() float64 { return 1 / float64(int(16)>>s.suspicion) }

// RecordFailures takes in failures, as many as the event is worth.
func (s *WorkerStats) RecordFailures(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples += count
	s.failRate = 1 - (1-s.failRate)*math.Pow(1-s.sampleWeight(), float64(count))
	s.lastRun = time.Now()
}

// RecordRun takes in a job that ended well, or that did not end in ms; usual is what
// jobs of its path take at all workers, in ms, 0 when that isn't known.
func (s *WorkerStats) RecordRun(route string, ms, usualMS float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	weight := s.sampleWeight()
	s.failRate -= s.failRate * weight
	s.lastRun = time.Now()
	mean, ok := s.ownRunTimes[route]
	if !ok && len(s.ownRunTimes) >= 1024 {
		clear(s.ownRunTimes)
	}
	// Its past moves slowly, so that some seconds of slowness do not become it.
	mean.add(ms, 2, 1024)
	s.ownRunTimes[route] = mean
	ownMS := mean.ms
	// Where its peers aren't known it isn't judged: jobs that wait for another
	// service take longer at all of them.
	if usualMS <= 0 || ownMS <= 0 {
		return
	}
	s.runTimeRatio += (min(ms/usualMS, 4) - s.runTimeRatio) * weight
	s.slowdown += (min(ms/max(usualMS, ownMS), 4) - s.slowdown) * weight
}

// Report is what the next receipt says.
func (s *WorkerStats) Report() WorkerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples < minSamples {
		return WorkerReport{}
	}
	return WorkerReport{Pace: uint8(min(max(math.Round(s.runTimeRatio*8), 1), 64)), Fail: uint8(math.Round(s.failRate * 64))}
}

// Suspicion is what all fronts should know of the worker: large changes only. The
// part of failures counts beyond what fails at its peers too, which common is.
// Doubts come by what enough jobs showed, and go by that or with time.
func (s *WorkerStats) Suspicion(commonFailRate float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	excessFailRate := max(s.failRate-commonFailRate, 0) / max(1-commonFailRate, 0.1)
	raiseTo, lowerTo := 0, 0 // doubts that come by the figures, and those that stay
	if s.samples >= minSamples {
		raiseTo = suspicionFor(excessFailRate, s.slowdown, 0.15, 0.3, 2.2, 3)
		lowerTo = suspicionFor(excessFailRate, s.slowdown, 0.07, 0.2, 1.6, 2.5)
	}
	// Those that hang tell nothing until their time is over.
	if s.mostlyHung(now) {
		raiseTo, lowerTo, s.lastRun = MaxSuspicion, MaxSuspicion, now
	}
	if now.Before(s.warmupUntil) {
		raiseTo, lowerTo = max(raiseTo, 1), max(lowerTo, 1)
	}
	minDuration := s.window / 16 << s.relapses
	// What nobody asks shows nothing: within a window it is asked again, however
	// often it fell. Of one that failed always doubts go in three steps.
	maxSilence := min(4*minDuration, s.window/3)
	switch {
	case raiseTo > s.suspicion:
		if s.suspicion == 0 {
			if s.relapses++; s.suspectedAt.IsZero() || now.Sub(s.suspectedAt) > 4*s.window {
				s.relapses = 0
			}
			s.relapses, s.suspectedAt = min(s.relapses, 3), now
		}
		s.suspicion, s.suspicionSince = raiseTo, now
	case lowerTo < s.suspicion && now.Sub(s.suspicionSince) > minDuration:
		s.suspicion, s.suspicionSince = lowerTo, now
	case s.suspicion > 0 && now.Sub(s.lastRun) > maxSilence && now.Sub(s.suspicionSince) > maxSilence && !now.Before(s.warmupUntil):
		// Nobody asks it any more, as where no job may be sent again.
		s.suspicion, s.suspicionSince = s.suspicion-1, now
		s.failRate, s.slowdown, s.runTimeRatio = s.failRate/2, 1+(s.slowdown-1)/2, 1+(s.runTimeRatio-1)/2
	}
	return s.suspicion
}

// suspicionFor turns failures and slowness into doubts.
func suspicionFor(failRate, slowdown, mildFailRate, severeFailRate, mildSlowdown, severeSlowdown float64) int {
	switch {
	case failRate >= severeFailRate || slowdown >= severeSlowdown:
		return MaxSuspicion
	case failRate >= mildFailRate || slowdown >= mildSlowdown:
		return 1
	}
	return 0
}
