// Package balancer picks the worker for a request: the one with the lowest cost,
// computed from the run time expected there relative to the request's target
// latency, the worker's rate of missed targets, its load and its health. Workers in
// the ingress's own zone are preferred, since traffic between zones is expensive.
package balancer

import (
	"math"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/ormap"
)

// workerState is what this ingress knows about one worker.
type workerState struct {
	inFlight        int // requests of this ingress that run there
	slots           float64
	usedSlots       int       // as last reported by the owner
	reportedAt      time.Time // when usedSlots was reported
	failRate        float64   // smoothed
	latencyMS       float64   // smoothed
	samples         int
	unhealthy       bool
	runTimeRatio    float64   // run time relative to the mean of the same routes at all workers; 0: unknown
	missRate        float64   // smoothed fraction of its requests that missed their target
	lastOutcome     time.Time // when an outcome or report last gave evidence about it
	relapses        int       // how often it turned unhealthy within four windows of the last time, at most 3
	turnedUnhealthy time.Time // when it last turned unhealthy
}

// runningMean is a smoothed time in milliseconds.
type runningMean struct {
	ms    float64
	count int
}

// add records one value, capped at maxRatio times the mean. The first maxCount
// values form a plain mean; from then on each new value has a weight of 1/maxCount.
func (m *runningMean) add(ms, maxRatio float64, maxCount int) {
	if m.count < maxCount {
		m.count++
	}
	if m.count > minSamples {
		ms = min(ms, maxRatio*m.ms)
	}
	m.ms += (ms - m.ms) / float64(m.count)
}

// Balancer picks workers for one ingress. mu guards all mutable fields.
type Balancer struct {
	mu              sync.Mutex
	zone            string
	refreshInterval time.Duration // the median latency of a service is recomputed four times per interval
	window          time.Duration // time scale on which evidence against a worker decays
	workers         map[string]*workerState
	excluded        map[string]time.Time // owners that could not be reached, and until when they are left out
	hasSession      func(string) bool    // whether a node has a session with a control node; nil: unknown
	notifyHealth    func(worker string, healthy bool)
	candidateSets   map[string]*candidateSet // by service
	routeRunTimes   map[string]runningMean   // by route: mean run time at all workers
	failRates       map[string]float64       // by service: smoothed fraction of its requests that failed
}

// New returns a Balancer for an ingress in the given zone. Median latencies are
// recomputed four times per refreshInterval. The window sets how fast evidence
// against a worker decays. notifyHealth, which may be nil, is called when a worker
// turns healthy or unhealthy.
func New(zone string, refreshInterval, window time.Duration, notifyHealth func(string, bool)) *Balancer {
	return &Balancer{zone: zone, refreshInterval: refreshInterval, window: window, workers: map[string]*workerState{}, routeRunTimes: map[string]runningMean{}, failRates: map[string]float64{},
		candidateSets: map[string]*candidateSet{}, excluded: map[string]time.Time{}, notifyHealth: notifyHealth}
}

func (b *Balancer) workerState(worker string) *workerState {
	state := b.workers[worker]
	if state == nil {
		state = &workerState{}
		b.workers[worker] = state
	}
	return state
}

// Slots returns the number of slots that a worker's entry states, 1 if it states
// none.
func Slots(e ormap.Entry) int {
	slots, err := strconv.Atoi(e.Meta["slots"])
	if err != nil || slots < 1 {
		return 1
	}
	return slots
}

// load estimates the fraction of a worker's slots that is in use. The value that
// the owner last reported decays towards the usual load of the service. It decays
// slowly, over the window: with many ingresses each one hears from an owner only
// rarely, and what overloads a worker (it is slow, or many callers are near) lasts
// longer than that.
func (b *Balancer) load(set *candidateSet, worker *candidate, now time.Time) float64 {
	load := set.load
	if !worker.state.reportedAt.IsZero() {
		age := float64(now.Sub(worker.state.reportedAt)) / float64(b.window)
		load += (float64(worker.state.usedSlots)/worker.slots - load) * math.Exp(-age)
	}
	return max(load, float64(worker.state.inFlight)/worker.slots)
}

const minSamples = 8 // outcomes needed before a worker is judged

// decay returns what fraction of the evidence against a worker still counts, given
// the time since anything was observed about it. Evidence against a worker that
// turned unhealthy repeatedly decays more slowly, but is gone after a window and a
// half in any case: by then others should have shown whether it still fails.
// Without this limit the exponential decay would keep requests away for three
// windows.
func (b *Balancer) decay(state *workerState, now time.Time) float64 {
	if state.lastOutcome.IsZero() || b.window <= 0 {
		return 1
	}
	age := float64(now.Sub(state.lastOutcome)) / float64(b.window)
	return math.Exp(-age/min(0.5*float64(int(1)<<state.relapses), 1)) * max(1-age/1.5, 0)
}

// weight is a worker's health between 0.01 and 1, relative to its peers. For a
// request that may not be retried failures count twice as much (the exponent is
// doubled) and the minimum is lower.
func (b *Balancer) weight(state *workerState, median, decay float64, noRetry bool) float64 {
	if state.samples < minSamples {
		return 1
	}
	minWeight, exponent := 0.05, 4.0
	if noRetry {
		minWeight, exponent = 0.01, 8
	}
	weight := math.Pow(1-state.failRate*decay, exponent)
	// Latencies up to twice the median of the peers are normal variation.
	if latency := state.latencyMS; median > 0 && latency > 2*median {
		latency = 2*median + (latency-2*median)*decay
		weight *= 2 * median / latency
	}
	return max(weight, minWeight)
}

// SetSessionCheck sets the function that reports whether a node has a session with
// a control node.
func (b *Balancer) SetSessionCheck(hasSession func(node string) bool) {
	b.mu.Lock()
	b.hasSession = hasSession
	b.mu.Unlock()
}

// Exclude leaves out the workers of an owner that could not be reached, for the
// given duration. It also removes exclusions that have expired.
func (b *Balancer) Exclude(owner string, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for excluded, until := range b.excluded {
		if now.After(until) {
			delete(b.excluded, excluded)
		}
	}
	b.excluded[owner] = now.Add(duration)
}

// Forget drops the state of a worker that no longer exists.
func (b *Balancer) Forget(worker string) {
	b.mu.Lock()
	delete(b.workers, worker)
	b.mu.Unlock()
}

// Weights returns the current weight of every worker of the services that this
// ingress has sent requests to.
func (b *Balancer) Weights() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	weights, now := map[string]float64{}, time.Now()
	for _, set := range b.candidateSets {
		for _, list := range [][]candidate{set.sameZone, set.otherZones} {
			for i := range list {
				worker := &list[i]
				weights[worker.entry.Worker] = b.weight(worker.state, b.median(set, now), b.decay(worker.state, now), false) * set.suspicionFactor(worker, false)
			}
		}
	}
	return weights
}

// HasFreeSlots reports whether some worker of a service has free slots, judging by
// the load that its owners reported.
func (b *Balancer) HasFreeSlots(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.candidateSets[service]
	return set != nil && set.load < 1
}

// UsualRunMS returns the mean run time of a route's requests in milliseconds, over
// all workers that this ingress sends to; 0 if unknown.
func (b *Balancer) UsualRunMS(route string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routeRunTimes[route].ms
}

// FailureRate returns the smoothed fraction of a service's requests that fails, at
// whichever worker.
func (b *Balancer) FailureRate(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failRates[service]
}
