package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ormap"
)

// PickRequest is a job that needs a worker.
type PickRequest struct {
	Route      string
	Target     time.Duration   // what is left of its aim
	Bulk       bool            // its bodies are large
	Repeatable bool            // it may be sent again
	Tried      map[string]bool // workers to leave out

	Delay func(ormap.Entry) time.Duration // of bulk: until it would be there, as measured; nil: at once
}

// The advance of the own area: how much more of a chance to miss the aim is put
// up with there. Bytes between areas are dear, those of bulk all the more.
const (
	zonePreference     = 0.5
	zonePreferenceBulk = 1.5
)

// probes is one of how many jobs that look at a doubtful worker goes there
// whatever it costs; of a few workers in an area as many more as there are
// fewer. This is a tenth of its fair part at any size, and keen times that once
// its owner doubts it but a little: a doubled cost alone wins nothing while others
// have room, and what shows that it is well would come as slowly as at the worst.
const (
	probeInterval   = 32
	mildProbeFactor = 3
)

// Pick nominates one of the entries, leaving out those tried and those that
// drain. It takes a place in the count, which Done gives back. The list must
// be one that is replaced when entries change, not changed itself.
func (b *Balancer) Pick(entries []ormap.Entry, request PickRequest) (ormap.Entry, bool) {
	if len(entries) == 0 {
		return ormap.Entry{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	set := b.candidateSetOf(entries)
	var buffer [2 * samplesPerZone]*candidate
	workers := b.sample(buffer[:0], set.sameZone, &request, now)
	sameZone := len(workers)
	workers = b.sample(workers, set.otherZones, &request, now)
	if len(workers) == 0 {
		worker := b.fallback(set, &request, now)
		if worker == nil {
			return ormap.Entry{}, false
		}
		return worker.reserve(), true
	}
	probeable := len(workers)
	if sameZone > 0 {
		probeable = sameZone
	}
	median := b.median(set, now)
	preference := zonePreference
	if request.Bulk {
		preference = zonePreferenceBulk
	}
	var best *candidate
	lowest := math.Inf(1)
	for i, worker := range workers {
		cost, doubtful := b.cost(set, worker, &request, median, now)
		// What can be sent again is a probe by which the doubtful can regain
		// their weight; of those far away only where there are none near.
		if doubtful && request.Repeatable && !request.Bulk && (i < sameZone || sameZone == 0) && rand.IntN(probeInterval*probeable) < samplesPerZone*worker.probeFactor {
			return worker.reserve(), true
		}
		if i >= sameZone {
			cost += preference
		}
		// What waits on the way misses the aim as what waits there does.
		if request.Delay != nil && request.Target > 0 {
			cost += min(float64(request.Delay(worker.entry))/float64(request.Target), 4)
		}
		if cost < lowest {
			best, lowest = worker, cost
		}
	}
	return best.reserve(), true
}

func (c *candidate) reserve() ormap.Entry {
	c.state.inFlight++
	return c.entry
}

// cost weighs one worker for a job: a quarter of the part of the aim that it is
// expected to take, the part of its jobs that missed theirs, and its load, most
// of all when its last slots are being taken, over its fitness. It also tells
// whether the worker is in doubt, or hardly known.
func (b *Balancer) cost(set *candidateSet, worker *candidate, request *PickRequest, median float64, now time.Time) (float64, bool) {
	state := worker.state
	load := b.load(set, worker, now) + 1/worker.slots
	decay := b.decay(state, now)
	runTimeRatio := 1.0
	if state.runTimeRatio != 0 {
		runTimeRatio += (state.runTimeRatio - 1) * decay
	}
	expectedMS := b.routeRunTimes[request.Route].ms * runTimeRatio
	// Beyond its slots each job waits for its turn.
	expectedMS *= 1 + max(load-1, 0)
	targetUse := 1.0
	if request.Target > 0 {
		targetUse = min(expectedMS/float64(request.Target.Milliseconds()+1), 2)
	}
	missRate := state.missRate * decay
	weight, suspicionFactor := b.weight(state, median, decay, !request.Repeatable), set.suspicionFactor(worker, !request.Repeatable)
	cost := (targetUse/4 + missRate + load/16 + max(load-0.75, 0)) / (weight * suspicionFactor)
	return cost, suspicionFactor < 1 || weight < unhealthyBelow || missRate > 0.25 || state.samples < minSamples
}

// A worker is unfit from this weight on, and fit again from twice that or so.
const (
	unhealthyBelow = 0.4
	healthyFrom    = 0.7
)

// Outcome is how a send ended.
type Outcome struct {
	Worker, Service string
	Route           string
	UsedSlots       int           // slots in use there, -1 when not known
	RoundTrip       time.Duration // from here and back
	RunTime         time.Duration // at the worker alone; 0 when not known
	MissedTarget    bool          // the job's aim was missed
	OK              bool
	AboutWorker     bool         // it says something of the worker: a refusal doesn't
	Report          WorkerReport // its owner's, if any came
}

// RecordOutcome takes in how a send ended.
func (b *Balancer) RecordOutcome(outcome Outcome) {
	b.mu.Lock()
	state := b.workerState(outcome.Worker)
	state.inFlight = max(state.inFlight-1, 0)
	now := time.Now()
	if outcome.UsedSlots >= 0 {
		state.usedSlots, state.reportedAt = outcome.UsedSlots, now
		if set := b.candidateSets[outcome.Service]; set != nil && state.slots > 0 {
			set.load += (float64(outcome.UsedSlots)/state.slots - set.load) / 32
		}
	}
	if outcome.AboutWorker || outcome.Report.Pace > 0 {
		b.decayEvidence(state, now)
	}
	failed := 0.0
	if !outcome.OK {
		failed = 1
	}
	if outcome.AboutWorker {
		// The first answers weigh more, so that the average starts near truth.
		gain := max(1/float64(state.samples+1), 0.1)
		state.samples++
		state.failRate += (failed - state.failRate) * gain
		state.latencyMS += (float64(outcome.RoundTrip)/float64(time.Millisecond) - state.latencyMS) * gain
		missed := 0.0
		if outcome.MissedTarget {
			missed = 1
		}
		state.missRate += (missed - state.missRate) * max(1/float64(state.samples+16), 0.02)
		if outcome.OK && outcome.RunTime > 0 {
			b.recordRunTime(state, outcome)
		}
		if len(b.failRates) >= 4096 {
			clear(b.failRates)
		}
		b.failRates[outcome.Service] += (failed - b.failRates[outcome.Service]) / 32
	}
	if outcome.Report.Pace > 0 {
		// It saw all jobs there, this front some: its word goes first.
		state.failRate = outcome.Report.failRate()
		state.runTimeRatio = outcome.Report.runTimeRatio()
		state.samples = max(state.samples, minSamples)
		if state.latencyMS == 0 {
			state.latencyMS = float64(outcome.RoundTrip) / float64(time.Millisecond)
		}
	}
	wasUnhealthy := state.unhealthy
	if set := b.candidateSets[outcome.Service]; set != nil {
		weight := b.weight(state, b.median(set, now), 1, false)
		state.unhealthy = weight < unhealthyBelow || (wasUnhealthy && weight < healthyFrom)
	}
	unhealthy := state.unhealthy
	if unhealthy && !wasUnhealthy {
		// One that falls again and again is let back more slowly each time.
		if state.relapses++; now.Sub(state.turnedUnhealthy) > 4*b.window {
			state.relapses = 0
		}
		state.relapses, state.turnedUnhealthy = min(state.relapses, 3), now
	}
	b.mu.Unlock()
	if wasUnhealthy != unhealthy && b.notifyHealth != nil {
		b.notifyHealth(outcome.Worker, !unhealthy)
	}
}

// decayEvidence lets older marks fade before new ones are made.
func (b *Balancer) decayEvidence(state *workerState, now time.Time) {
	decay := b.decay(state, now)
	state.failRate *= decay
	state.missRate *= decay
	if state.runTimeRatio != 0 {
		state.runTimeRatio = 1 + (state.runTimeRatio-1)*decay
	}
	state.lastOutcome = now
}

// recordRunTime takes in how long a job ran at the worker.
func (b *Balancer) recordRunTime(state *workerState, outcome Outcome) {
	ms := float64(outcome.RunTime) / float64(time.Millisecond)
	mean, ok := b.routeRunTimes[outcome.Route]
	// Paths of older configurations must not pile up.
	if !ok && len(b.routeRunTimes) >= 4096 {
		clear(b.routeRunTimes)
	}
	previousMS := mean.ms
	mean.add(ms, 4, 32)
	b.routeRunTimes[outcome.Route] = mean
	if previousMS <= 0 {
		return
	}
	// One long job says little of its worker.
	ratio := min(ms/previousMS, 4)
	if state.runTimeRatio == 0 {
		state.runTimeRatio = 1
	}
	state.runTimeRatio += (ratio - state.runTimeRatio) / 24
}
