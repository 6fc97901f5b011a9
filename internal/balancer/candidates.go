package balancer

import (
	"math/rand/v2"
	"sort"
	"time"

	"puffincrank/internal/ormap"
)

// candidateSet is a service's workers by area, made anew when its entries change. A
// job draws from it by place, so that it costs the same at any size.
type candidateSet struct {
	firstEntry           *ormap.Entry // of the list that it was made from, which is never changed
	size                 int
	sameZone, otherZones []candidate
	suspected            int // whose owners doubt them
	medianMS             float64
	load                 float64   // of its workers, smoothed over receipts
	medianUntil          time.Time // how long the middle counts
}

// candidate is one worker in a roster.
type candidate struct {
	entry       ormap.Entry
	state       *workerState
	slots       float64
	suspicion   int // its owner's, from 0 to Worst
	probeFactor int // how many times as often it is probed
}

// candidateSetOf finds the lists of a service, and makes them if its entries changed.
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
		// One that is cold will be well in its time, whatever probes show.
		if worker.suspicion == 1 && e.Meta["cold"] == "" {
			worker.probeFactor = mildProbeFactor
		}
		if worker.suspicion > 0 {
			set.suspected++
		} else if lastSuspicion[e.Worker] > 0 {
			// Its owner sees all its jobs and found it well: older marks against
			// it here would only be taken back one probe at a time.
			worker.state.failRate, worker.state.missRate, worker.state.runTimeRatio, worker.state.latencyMS, worker.state.samples = 0, 0, 0, 0, 0
		}
		if e.Zone == b.zone {
			set.sameZone = append(set.sameZone, worker)
		} else {
			set.otherZones = append(set.otherZones, worker)
		}
	}
	// Services of older configurations must not pile up.
	if len(b.candidateSets) >= 4096 {
		clear(b.candidateSets)
	}
	b.candidateSets[entries[0].Service] = set
	return set
}

// suspicionFactor is what is left of a seat's weight by its owner's doubts. Where more
// than a quarter of a service is doubted, it isn't the workers, and the others
// could not take the jobs of so many.
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

// medianSamples is how many workers a middle is taken of, at the most.
const medianSamples = 32

// median is the median latency of a service's workers, worked out anew a few
// times in a beat, over so many of them as say enough.
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
	set.medianUntil = now.Add(b.loadTTL / 4)
	return set.medianMS
}

// samplesPerZone is how many workers of an area are weighed for one job. All of a small
// service; of a large one two at random already avoid the crowded.
const samplesPerZone = 3

// sample takes a few of a list by place, those that can be asked; in a list with
// many that can't, fewer or none.
func (b *Balancer) sample(chosen []*candidate, pool []candidate, request *PickRequest, now time.Time) []*candidate {
	size, want := len(pool), len(chosen)+samplesPerZone
	if size == 0 {
		return chosen
	}
	if size <= 2*samplesPerZone {
		// All of a small one, from a random place on.
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

// eligible tells whether a worker may be asked: not tried yet, and its owner within
// reach. Of others the entries stay until they are retired, and each try would
// cost a repeat.
func (b *Balancer) eligible(worker *candidate, request *PickRequest, now time.Time) bool {
	if request.Tried[worker.entry.Worker] {
		return false
	}
	if len(b.excluded) > 0 && now.Before(b.excluded[worker.entry.Owner]) {
		return false
	}
	return b.hasSession == nil || b.hasSession(worker.entry.Owner)
}

// fallback looks through all, for when a draw found nobody: one that can be asked,
// else one that is out of reach.
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
