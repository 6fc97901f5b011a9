package balancer

import (
	"math"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/ormap"
)

// MaxSuspicion is the highest level at which an owner suspects its worker; 0 means
// that it does not.
const MaxSuspicion = 2

// SuspicionLevel returns the owner's suspicion level from a worker's entry.
func SuspicionLevel(e ormap.Entry) int {
	level, err := strconv.Atoi(e.Meta["doubts"])
	if err != nil {
		return 0
	}
	return min(max(level, 0), MaxSuspicion)
}

// WorkerReport is the coarse summary of a worker that an owner adds to its
// responses, kept to a few bytes: PaceEighths is the ratio of its run times to those of
// all workers in eighths, 0 if there is no report; FailedPer64 is the fraction of its
// requests that failed, in 64ths.
type WorkerReport struct{ PaceEighths, FailedPer64 uint8 }

func (w WorkerReport) runTimeRatio() float64 { return float64(w.PaceEighths) / 8 }
func (w WorkerReport) failRate() float64     { return float64(w.FailedPer64) / 64 }

// WorkerStats is an owner's record of its worker, all of whose requests it sees.
// mu guards all mutable fields.
type WorkerStats struct {
	mu             sync.Mutex
	window         time.Duration
	failRate       float64                // smoothed fraction of its requests that failed
	runTimeRatio   float64                // run time relative to all workers on the same route
	slowdown       float64                // run time relative to the larger of the usual time at all workers and its own long-term mean
	ownRunTimes    map[string]runningMean // by route: long-term mean run time here
	samples        int
	suspicion      int
	suspicionSince time.Time // when the level last changed
	lastRun        time.Time // when a run last ended, or was last found hanging
	suspectedAt    time.Time // when the level last rose from 0
	relapses       int       // how often it rose within four windows of the last time, at most 3
	warmupUntil    time.Time // end of the warm-up period that the worker announced
	activeRuns     map[*ActiveRun]bool
}

// NewWorkerStats returns an empty record. How long suspicion of a worker lasts is
// proportional to the window.
func NewWorkerStats(window time.Duration) *WorkerStats {
	return &WorkerStats{window: window, runTimeRatio: 1, slowdown: 1, ownRunTimes: map[string]runningMean{}, activeRuns: map[*ActiveRun]bool{}}
}

// SetWarmup records for how much longer the worker expects to be slow after its
// start.
func (s *WorkerStats) SetWarmup(remaining time.Duration) {
	s.mu.Lock()
	s.warmupUntil = time.Now().Add(remaining)
	s.mu.Unlock()
}

// WarmingUp reports whether the worker is still in its announced warm-up period.
func (s *WorkerStats) WarmingUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.warmupUntil)
}

// ActiveRun is a request in progress at the worker.
type ActiveRun struct {
	started time.Time
	usualMS float64
}

// RunStarted records that a request is sent to the worker. usualMS is the mean run
// time of its route at all workers in milliseconds, 0 if unknown.
func (s *WorkerStats) RunStarted(usualMS float64) *ActiveRun {
	run := &ActiveRun{time.Now(), usualMS}
	s.mu.Lock()
	s.activeRuns[run] = true
	s.mu.Unlock()
	return run
}

// RunEnded records that a request is no longer in progress and returns how long it
// ran, in milliseconds.
func (s *WorkerStats) RunEnded(run *ActiveRun) float64 {
	s.mu.Lock()
	delete(s.activeRuns, run)
	s.mu.Unlock()
	return float64(time.Since(run.started)) / float64(time.Millisecond)
}

// mostlyHung reports whether at least half of the active runs, and more than one,
// have taken over four times their usual time and so may never end. mu is held.
func (s *WorkerStats) mostlyHung(now time.Time) bool {
	hung := 0
	for run := range s.activeRuns {
		if run.usualMS > 0 && float64(now.Sub(run.started))/float64(time.Millisecond) > 4*run.usualMS {
			hung++
		}
	}
	return hung > 1 && 2*hung >= len(s.activeRuns)
}

// sampleWeight is the weight of one outcome in the averages. It grows with the
// suspicion level, since a suspected worker gets only few requests. mu is held.
func (s *WorkerStats) sampleWeight() float64 { return 1 / float64(int(16)>>s.suspicion) }

// RecordFailures records a failure that counts as the given number of failed
// requests.
func (s *WorkerStats) RecordFailures(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples += count
	s.failRate = 1 - (1-s.failRate)*math.Pow(1-s.sampleWeight(), float64(count))
	s.lastRun = time.Now()
}

// RecordRun records a request that succeeded, or that was still running after ms
// milliseconds. usualMS is the mean run time of its route at all workers in
// milliseconds, 0 if unknown.
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
	// The worker's own mean moves slowly, so that a few seconds of slowness do not
	// become its norm.
	mean.add(ms, 2, 1024)
	s.ownRunTimes[route] = mean
	ownMS := mean.ms
	// Without the peers' run time a run is not judged: requests that wait for
	// another service take longer at all workers.
	if usualMS <= 0 || ownMS <= 0 {
		return
	}
	s.runTimeRatio += (min(ms/usualMS, 4) - s.runTimeRatio) * weight
	s.slowdown += (min(ms/max(usualMS, ownMS), 4) - s.slowdown) * weight
}

// Report returns the summary for the next response.
func (s *WorkerStats) Report() WorkerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples < minSamples {
		return WorkerReport{}
	}
	return WorkerReport{PaceEighths: uint8(min(max(math.Round(s.runTimeRatio*8), 1), 64)), FailedPer64: uint8(math.Round(s.failRate * 64))}
}

// Suspicion updates and returns the suspicion level that all ingresses should know.
// It changes only on large changes in the worker's behavior. Failures count as far
// as they exceed commonFailRate, the rate at which the service fails at any worker.
// The level rises on enough evidence, and falls on evidence or with time.
func (s *WorkerStats) Suspicion(commonFailRate float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	excessFailRate := max(s.failRate-commonFailRate, 0) / max(1-commonFailRate, 0.1)
	raiseTo, lowerTo := 0, 0 // levels the figures call for: to rise to, and to fall back to
	if s.samples >= minSamples {
		raiseTo = suspicionFor(excessFailRate, s.slowdown, 0.15, 0.3, 2.2, 3)
		lowerTo = suspicionFor(excessFailRate, s.slowdown, 0.07, 0.2, 1.6, 2.5)
	}
	// Hanging runs report nothing until they time out, so they count at once.
	if s.mostlyHung(now) {
		raiseTo, lowerTo, s.lastRun = MaxSuspicion, MaxSuspicion, now
	}
	if now.Before(s.warmupUntil) {
		raiseTo, lowerTo = max(raiseTo, 1), max(lowerTo, 1)
	}
	minDuration := s.window / 16 << s.relapses
	// A worker without requests produces no evidence, so its level falls after a
	// period of silence. A third of the window bounds the period, so that the
	// worker is tried again within one window however often it relapsed. The
	// averages of a worker that always failed take three such steps to reach level
	// 0.
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
		// The worker gets no requests any more, as when no request of its service
		// may be retried.
		s.suspicion, s.suspicionSince = s.suspicion-1, now
		s.failRate, s.slowdown, s.runTimeRatio = s.failRate/2, 1+(s.slowdown-1)/2, 1+(s.runTimeRatio-1)/2
	}
	return s.suspicion
}

// suspicionFor returns the suspicion level for a failure rate and a slowdown.
func suspicionFor(failRate, slowdown, mildFailRate, severeFailRate, mildSlowdown, severeSlowdown float64) int {
	switch {
	case failRate >= severeFailRate || slowdown >= severeSlowdown:
		return MaxSuspicion
	case failRate >= mildFailRate || slowdown >= mildSlowdown:
		return 1
	}
	return 0
}
