// Package balancer picks the worker of a job: the one that costs least, by the
// time that jobs of its path are expected to take there against the job's aim,
// by how many missed it lately, by load and by fitness. Workers of the own area
// are given an advance, since bytes between areas are dear.
package balancer

import (
	"math"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/ormap"
)

// workerState is what this front knows of one worker.
type workerState struct {
	inFlight        int // own jobs under way there
	slots           float64
	usedSlots       int       // what the owner's last receipt said
	reportedAt      time.Time // when it said so
	failRate        float64   // smoothed rate of failures
	latencyMS       float64   // smoothed latency in ms
	samples         int
	unhealthy       bool
	runTimeRatio    float64   // how long its jobs run, as a ratio to all jobs of their paths; 0: not known
	missRate        float64   // part of its jobs that missed their aim, smoothed
	lastOutcome     time.Time // when a job last said something of it
	relapses        int       // how often it turned unfit lately
	turnedUnhealthy time.Time // when it did so last
}

// runningMean is a smoothed time in ms.
type runningMean struct {
	ms    float64
	count int
}

// add takes in one more, which counts for most times the mean at the most; the
// first ones make up a plain mean, later ones weigh one in long.
func (m *runningMean) add(ms, maxRatio float64, maxCount int) {
	if m.count < maxCount {
		m.count++
	}
	if m.count > minSamples {
		ms = min(ms, maxRatio*m.ms)
	}
	m.ms += (ms - m.ms) / float64(m.count)
}

// Balancer is one front's choice of workers.
type Balancer struct {
	mu            sync.Mutex
	zone          string
	loadTTL       time.Duration // how long a receipt's word on load counts
	window        time.Duration // in a ratio of which doubts fade
	workers       map[string]*workerState
	excluded      map[string]time.Time // owners that could not be reached, until when
	hasSession    func(string) bool    // whether a node has a session; nil: not known
	notifyHealth  func(worker string, fit bool)
	candidateSets map[string]*candidateSet // by service
	routeRunTimes map[string]runningMean   // by path, ms that a job runs, smoothed over all workers
	failRates     map[string]float64       // by service, part of its jobs that failed, smoothed
}

// New makes a nominator for a front in an area; fresh is how long a receipt's
// word on load counts, window the time in whose ratio doubts fade.
func New(zone string, loadTTL, window time.Duration, notifyHealth func(string, bool)) *Balancer {
	return &Balancer{zone: zone, loadTTL: loadTTL, window: window, workers: map[string]*workerState{}, routeRunTimes: map[string]runningMean{}, failRates: map[string]float64{},
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

// Slots reads a worker's slots from its entry.
func Slots(e ormap.Entry) int {
	slots, err := strconv.Atoi(e.Meta["slots"])
	if err != nil || slots < 1 {
		return 1
	}
	return slots
}

// load is the part of a worker's slots that is taken, as far as is known. What
// a receipt said turns by and by into what is usual for the service: with many
// fronts each gets one in a while, and what made a worker crowded (it is slow,
// or has many callers near) lasts for longer than that.
func (b *Balancer) load(set *candidateSet, worker *candidate, now time.Time) float64 {
	load := set.load
	if !worker.state.reportedAt.IsZero() {
		age := float64(now.Sub(worker.state.reportedAt)) / float64(b.window)
		load += (float64(worker.state.usedSlots)/worker.slots - load) * math.Exp(-age)
	}
	return max(load, float64(worker.state.inFlight)/worker.slots)
}

const minSamples = 8 // answers before a worker is judged

// decay is what is left of a doubt about a worker that nothing was heard of
// for a while. Who fell often of late is doubted for longer, though for a window
// and a half at the most: from then on others should have shown that it is ill.
// Without that end a doubt that halves by and by keeps jobs away for three windows.
func (b *Balancer) decay(state *workerState, now time.Time) float64 {
	if state.lastOutcome.IsZero() || b.window <= 0 {
		return 1
	}
	age := float64(now.Sub(state.lastOutcome)) / float64(b.window)
	return math.Exp(-age/min(0.5*float64(int(1)<<state.relapses), 1)) * max(1-age/1.5, 0)
}

// weight is a worker's fitness from 0.01 to 1, against its peers. A job that
// may not be sent again shies away twice as much.
func (b *Balancer) weight(state *workerState, median, decay float64, noRetry bool) float64 {
	if state.samples < minSamples {
		return 1
	}
	minWeight, exponent := 0.05, 4.0
	if noRetry {
		minWeight, exponent = 0.01, 8
	}
	weight := math.Pow(1-state.failRate*decay, exponent)
	// Up to twice the peers' middle is the noise of ordinary days.
	if latency := state.latencyMS; median > 0 && latency > 2*median {
		latency = 2*median + (latency-2*median)*decay
		weight *= 2 * median / latency
	}
	return max(weight, minWeight)
}

// SetSessionCheck tells how to find out whether a node has a session with a control node.
func (b *Balancer) SetSessionCheck(hasSession func(node string) bool) {
	b.mu.Lock()
	b.hasSession = hasSession
	b.mu.Unlock()
}

// Exclude leaves an owner out for a while: it could not be reached.
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

// Forget drops a worker that is gone.
func (b *Balancer) Forget(worker string) {
	b.mu.Lock()
	delete(b.workers, worker)
	b.mu.Unlock()
}

// Weights gives the weight of every known worker of a service that was asked for.
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

// HasFreeSlots tells whether there are free slots somewhere in a service, by what its
// owners' receipts said.
func (b *Balancer) HasFreeSlots(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.candidateSets[service]
	return set != nil && set.load < 1
}

// UsualRunMS is how long a job of a path runs at a worker, in ms over all workers
// that this front sends to; 0 when not known.
func (b *Balancer) UsualRunMS(route string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routeRunTimes[route].ms
}

// FailureRate is the part of a service's jobs that fails at any worker.
func (b *Balancer) FailureRate(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failRates[service]
}
