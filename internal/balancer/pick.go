package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"puffincrank/internal/ormap"
)

// PickRequest describes a request that needs a worker.
type PickRequest struct {
	Route      string
	Target     time.Duration   // time left until its target latency is missed
	Bulk       bool            // its bodies are large
	Repeatable bool            // it may be retried
	Tried      map[string]bool // workers to leave out

	Delay func(ormap.Entry) time.Duration // for bulk: measured time until its body would arrive there; nil: none
}

// Preference for the own zone, as the extra cost added to workers in other zones.
// Traffic between zones is expensive, and bulk bodies most of all.
const (
	zonePreference     = 0.5
	zonePreferenceBulk = 1.5
)

// One in probeInterval requests that consider a doubtful worker is sent there
// regardless of its cost; in a zone of few workers the rate is higher in
// proportion. The worker thus gets about a tenth of its fair share at any service
// size. At suspicion level 1 it is probed mildProbeFactor times as often: its cost
// is only doubled, but it would still get no requests while others have free slots,
// and evidence of its recovery would arrive as slowly as at the highest level.
const (
	probeInterval   = 32
	mildProbeFactor = 3
)

// Pick selects one of the entries, leaving out workers that were tried or are
// draining. The request counts as in flight at that worker until RecordOutcome. The
// slice must not be modified afterwards: when entries change, a new one has to be
// passed.
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
		// Repeatable requests serve as probes through which a doubtful worker can
		// regain its weight. Workers in other zones are probed only if none of the
		// own zone was sampled.
		if doubtful && request.Repeatable && !request.Bulk && (i < sameZone || sameZone == 0) && rand.IntN(probeInterval*probeable) < samplesPerZone*worker.probeFactor {
			return worker.reserve(), true
		}
		if i >= sameZone {
			cost += preference
		}
		// A delay on the way counts against the target like a wait at the worker.
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

// cost rates a worker for a request: a quarter of the fraction of the target that
// the request is expected to take, plus the worker's rate of missed targets, plus
// its load, which counts most when the last slots are being taken, all divided by
// its weight. The second result reports whether the worker is doubtful or hardly
// known.
func (b *Balancer) cost(set *candidateSet, worker *candidate, request *PickRequest, median float64, now time.Time) (float64, bool) {
	state := worker.state
	load := b.load(set, worker, now) + 1/worker.slots
	decay := b.decay(state, now)
	runTimeRatio := 1.0
	if state.runTimeRatio != 0 {
		runTimeRatio += (state.runTimeRatio - 1) * decay
	}
	expectedMS := b.routeRunTimes[request.Route].ms * runTimeRatio
	// Requests beyond the number of slots wait for each other.
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

// A worker becomes unhealthy when its weight falls below the first value, and
// healthy again only at the second, so that its state does not flap.
const (
	unhealthyBelow = 0.4
	healthyFrom    = 0.7
)

// Outcome describes how an attempt ended.
type Outcome struct {
	Worker, Service string
	Route           string
	UsedSlots       int           // slots in use at the worker, -1 if unknown
	RoundTrip       time.Duration // measured at the ingress
	RunTime         time.Duration // at the worker alone; 0 if unknown
	MissedTarget    bool          // the request missed its target latency
	OK              bool
	AboutWorker     bool         // the outcome says something about the worker; a refusal does not
	Report          WorkerReport // the owner's report, if one came
}

// RecordOutcome records how an attempt ended and notifies about a change of the
// worker's health.
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
	if outcome.AboutWorker || outcome.Report.PaceEighths > 0 {
		b.decayEvidence(state, now)
	}
	failed := 0.0
	if !outcome.OK {
		failed = 1
	}
	if outcome.AboutWorker {
		// The first outcomes weigh more, so that the averages soon approach the
		// true values.
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
	if outcome.Report.PaceEighths > 0 {
		// The owner sees all requests of its worker, this ingress only some, so the
		// owner's report replaces the local averages.
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
		// A worker that relapses within four windows is readmitted more slowly each
		// time.
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

// decayEvidence applies the decay since the last outcome, before new evidence is
// added.
func (b *Balancer) decayEvidence(state *workerState, now time.Time) {
	decay := b.decay(state, now)
	state.failRate *= decay
	state.missRate *= decay
	if state.runTimeRatio != 0 {
		state.runTimeRatio = 1 + (state.runTimeRatio-1)*decay
	}
	state.lastOutcome = now
}

// recordRunTime records how long a request ran at the worker.
func (b *Balancer) recordRunTime(state *workerState, outcome Outcome) {
	ms := float64(outcome.RunTime) / float64(time.Millisecond)
	mean, ok := b.routeRunTimes[outcome.Route]
	// Bounds the memory held for routes of older configurations.
	if !ok && len(b.routeRunTimes) >= 4096 {
		clear(b.routeRunTimes)
	}
	previousMS := mean.ms
	mean.add(ms, 4, 32)
	b.routeRunTimes[outcome.Route] = mean
	if previousMS <= 0 {
		return
	}
	// A single long run says little about the worker, so its ratio is capped at 4.
	ratio := min(ms/previousMS, 4)
	if state.runTimeRatio == 0 {
		state.runTimeRatio = 1
	}
	state.runTimeRatio += (ratio - state.runTimeRatio) / 24
}
