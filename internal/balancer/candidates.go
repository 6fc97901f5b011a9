package balancer

import (
	"math/rand/v2"
	"sort"
	"time"

	"puffincrank/internal/ormap"
)

// candidateSet holds the workers of a service by zone. It is rebuilt when the
// service's entries change. Requests sample it by index, so that the cost of a pick
// does not depend on the number of workers.
type candidateSet struct {
	firstEntry           *ormap.Entry // identifies the entry list it was built from; such lists are immutable
	size                 int
	sameZone, otherZones []candidate
	suspected            int // workers whose owners suspect them
	medianMS             float64
	load                 float64   // usual fraction of slots in use, smoothed over reports
	medianUntil          time.Time // when medianMS has to be recomputed
}

// candidate is one worker in a candidateSet.
type candidate struct {
	entry       ormap.Entry
	state       *workerState
	slots       float64
	suspicion   int // level given by its owner, 0 to MaxSuspicion
	probeFactor int // multiple of the normal probe rate
}

// candidateSetOf returns the candidate set of a service, rebuilt if its entries
// changed. mu is held.
func (b *Balancer) candidateSetOf(entries []ormap.Entry) *candidateSet {
	set := b.candidateSets[entries[0].Service]
	if set != nil && set.firstEntry == &entries[0] && set.size == len(entries) {
		return set
	}
	previous := set
	set = &candidateSet{firstEntry: &entries[0], size: len(entries)}
	if previous != nil {
		set.load = previous.load
	}
	lastSuspicion := map[string]int{}
	if previous != nil {
		for _, list := range [][]candidate{previous.sameZone, previous.otherZones} {
			for _, worker := range list {
				lastSuspicion[worker.entry.Worker] = worker.suspicion
			}
		}
	}
	for _, e := range entries {
		if e.Meta["state"] == "draining" {
			continue
		}
		worker := candidate{entry: e, state: b.workerState(e.Worker), slots: float64(Slots(e)), suspicion: SuspicionLevel(e), probeFactor: 1}
		worker.state.slots = worker.slots
		// A worker that is warming up recovers with time, whatever probes show, so
		// it is not probed more often.
		if worker.suspicion == 1 && e.Meta["cold"] == "" {
			worker.probeFactor = mildProbeFactor
		}
		if worker.suspicion > 0 {
			set.suspected++
		} else if lastSuspicion[e.Worker] > 0 {
			// The owner sees all requests of its worker and no longer suspects it.
			// Older evidence held here would only be corrected one probe at a time,
			// so it is dropped.
			worker.state.failRate, worker.state.missRate, worker.state.runTimeRatio, worker.state.latencyMS, worker.state.samples = 0, 0, 0, 0, 0
		}
		if e.Zone == b.zone {
			set.sameZone = append(set.sameZone, worker)
		} else {
			set.otherZones = append(set.otherZones, worker)
		}
	}
	// Bounds the memory held for services of older configurations.
	if len(b.candidateSets) >= 4096 {
		clear(b.candidateSets)
	}
	b.candidateSets[entries[0].Service] = set
	return set
}

// suspicionFactor reduces the weight of a worker that its owner suspects. If more
// than a quarter of a service is suspected, the factor is 1: the cause is then
// unlikely to be the workers, and the rest could not take over that many requests.
func (s *candidateSet) suspicionFactor(worker *candidate, noRetry bool) float64 {
	if worker.suspicion == 0 || s.suspected > max(s.size/4, 1) {
		return 1
	}
	factor := 0.5
	if worker.suspicion >= MaxSuspicion {
		factor = 0.1
	}
	if noRetry {
		factor *= factor
	}
	return factor
}

// medianSamples is how many workers per zone list go into a median. Larger lists
// are sampled at a regular step, which takes between one and two times as many.
const medianSamples = 32

// median returns the median latency in milliseconds of a service's workers, over a
// sample of those with enough outcomes. It is recomputed four times per
// refreshInterval. mu is held.
func (b *Balancer) median(set *candidateSet, now time.Time) float64 {
	if set.medianUntil.After(now) {
		return set.medianMS
	}
	var latencies []float64
	for _, list := range [][]candidate{set.sameZone, set.otherZones} {
		step := max(len(list)/medianSamples, 1)
		for i := rand.IntN(step); i < len(list); i += step {
			if state := list[i].state; state.samples >= minSamples {
				latencies = append(latencies, state.latencyMS)
			}
		}
	}
	set.medianMS = 0
	if len(latencies) > 0 {
		sort.Float64s(latencies)
		set.medianMS = latencies[(len(latencies)-1)/2]
	}
	set.medianUntil = now.Add(b.refreshInterval / 4)
	return set.medianMS
}

// samplesPerZone is how many workers of the own zone, and how many of all other
// zones, are compared for one request. This covers a small service; in a large one
// two random choices are already enough to avoid overloaded workers.
const samplesPerZone = 3

// sample appends up to samplesPerZone random eligible workers of the pool to
// chosen. If many workers of the pool are not eligible, it may find fewer or none.
func (b *Balancer) sample(chosen []*candidate, pool []candidate, request *PickRequest, now time.Time) []*candidate {
	size, want := len(pool), len(chosen)+samplesPerZone
	if size == 0 {
		return chosen
	}
	if size <= 2*samplesPerZone {
		// A small pool is scanned in full, starting at a random position.
		for i, position := 0, rand.IntN(size); i < size && len(chosen) < want; i++ {
			if worker := &pool[(position+i)%size]; b.eligible(worker, request, now) {
				chosen = append(chosen, worker)
			}
		}
		return chosen
	}
	var visited [4 * samplesPerZone]int
	for i := 0; i < len(visited) && len(chosen) < want; i++ {
		position, repeated := rand.IntN(size), false
		for _, earlier := range visited[:i] {
			repeated = repeated || earlier == position+1
		}
		visited[i] = position + 1
		if worker := &pool[position]; !repeated && b.eligible(worker, request, now) {
			chosen = append(chosen, worker)
		}
	}
	return chosen
}

// eligible reports whether a worker may be picked: it was not tried yet, and its
// owner is reachable. Entries of unreachable owners stay in the registry until they
// are retired, and each attempt there would cost a retry.
func (b *Balancer) eligible(worker *candidate, request *PickRequest, now time.Time) bool {
	if request.Tried[worker.entry.Worker] {
		return false
	}
	if len(b.excluded) > 0 && now.Before(b.excluded[worker.entry.Owner]) {
		return false
	}
	return b.hasSession == nil || b.hasSession(worker.entry.Owner)
}

// fallback scans all workers when sampling found none. It returns an eligible
// worker, or else one that was not tried but is unreachable, or nil.
func (b *Balancer) fallback(set *candidateSet, request *PickRequest, now time.Time) *candidate {
	var unreachable *candidate
	for _, list := range [][]candidate{set.sameZone, set.otherZones} {
		if len(list) == 0 {
			continue
		}
		for i, start := 0, rand.IntN(len(list)); i < len(list); i++ {
			worker := &list[(start+i)%len(list)]
			if b.eligible(worker, request, now) {
				return worker
			}
			if unreachable == nil && !request.Tried[worker.entry.Worker] {
				unreachable = worker
			}
		}
	}
	return unreachable
}
