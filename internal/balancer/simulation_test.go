package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"puffincrank/internal/ormap"
)

// simulation runs the ingresses and workers of one service in virtual time. Each
// worker has slots, a speed, a queue, and an owner that measures it and publishes
// its suspicion to all ingresses.
type simulation struct {
	random          *rand.Rand
	ingresses       []*Balancer
	entries         []ormap.Entry
	workers         []*simWorker
	pending         eventQueue
	target          time.Duration
	runTime         time.Duration
	rate            float64 // requests per second
	repeatable      float64 // fraction of the requests that may be retried
	randomPick      bool    // workers are picked at random, as the baseline
	counts          map[string]int
	inFlight        map[*simRequest]bool
	maxRedirects    int // how often a request may move on instead of queueing
	redirects       int // attempts that moved on to another worker
	crossZone       int // requests sent to another zone
	registryUpdates int // registry entries that were published anew
	started         time.Time
}

// simWorker is one worker with its owner's record of it.
type simWorker struct {
	index            int
	slots, busy      int
	queue            []*simRequest
	runTimeFactor    float64
	failure          func(now time.Duration) (kind string, severity float64)
	stats            *WorkerStats
	published        int
	received, failed map[int]int // by second
}

type simRequest struct {
	ingress    int
	worker     *simWorker
	arrived    time.Time
	repeatable bool
	run        *ActiveRun
	tried      map[string]bool
	redirects  int
	rejected   bool // refused by the worker
}

func (s *simulation) after(delay time.Duration, action func()) {
	heap.Push(&s.pending, event{time.Now().Add(delay), action})
}

const window = 10 * time.Second

func newSimulation(ingresses, workers, zones int, seed uint64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), target: time.Second, runTime: 270 * time.Millisecond, repeatable: 1, counts: map[string]int{}, inFlight: map[*simRequest]bool{}, started: time.Now()}
	for i := range ingresses {
		sim.ingresses = append(sim.ingresses, New(strconv.Itoa(i%zones), 200*time.Millisecond, window, nil))
	}
	speeds := []float64{1, 1, 1.5, 0.5, 1}
	for i := range workers {
		sim.workers = append(sim.workers, &simWorker{index: i, slots: 12, runTimeFactor: speeds[i/zones%len(speeds)], stats: NewWorkerStats(window), received: map[int]int{}, failed: map[int]int{}})
		sim.entries = append(sim.entries, entry(fmt.Sprint("w", i), strconv.Itoa(i%zones)))
		sim.entries[i].Meta["slots"] = "12"
	}
	// Six tenths of the slots are in use on average.
	sim.rate = 0.6 * float64(workers*12) / sim.runTime.Seconds()
	return sim
}

// publishSuspicion sends a changed suspicion level to all ingresses, as a new
// registry entry.
func (w *simWorker) publishSuspicion(sim *simulation) {
	level := w.stats.Suspicion(sim.ingresses[w.index].FailureRate("s"))
	if level == w.published {
		return
	}
	w.published = level
	sim.registryUpdates++
	sim.after(50*time.Millisecond, func() {
		sim.entries = append([]ormap.Entry(nil), sim.entries...)
		meta := map[string]string{"slots": "12", "state": "up"}
		if w.published > 0 {
			meta["doubts"] = strconv.Itoa(w.published)
		}
		sim.entries[w.index].Meta = meta
	})
}

func (s *simulation) run(duration time.Duration) {
	end := time.Now().Add(duration)
	var arrive func()
	arrive = func() {
		s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), arrive)
		s.dispatch(&simRequest{ingress: s.random.IntN(len(s.ingresses)), arrived: time.Now(), repeatable: s.random.Float64() < s.repeatable, tried: map[string]bool{}})
	}
	if len(s.pending) == 0 {
		s.after(0, arrive)
	}
	for s.pending[0].at.Before(end) {
		next := heap.Pop(&s.pending).(event)
		timer := time.NewTimer(time.Until(next.at))
		<-timer.C
		next.action()
	}
}

func (s *simulation) dispatch(request *simRequest) {
	entry, ok := ormap.Entry{}, true
	if s.randomPick {
		entry = s.entries[s.random.IntN(len(s.entries))]
	} else {
		entry, ok = s.ingresses[request.ingress].Pick(s.entries, PickRequest{Route: "p", Target: s.target - time.Since(request.arrived), Repeatable: request.repeatable, Tried: request.tried})
	}
	if !ok {
		s.counts["nobody"]++
		return
	}
	index, _ := strconv.Atoi(entry.Worker[1:])
	worker := s.workers[index]
	if !s.randomPick && request.redirects < s.maxRedirects && worker.busy >= worker.slots && s.ingresses[request.ingress].HasFreeSlots("s") {
		s.ingresses[request.ingress].RecordOutcome(Outcome{Worker: entry.Worker, Service: "s", UsedSlots: worker.busy + len(worker.queue)})
		request.tried[entry.Worker] = true
		s.redirects++
		if request.redirects++; request.redirects == s.maxRedirects || len(request.tried) == len(s.entries) {
			request.redirects = s.maxRedirects
			clear(request.tried)
		}
		s.after(2*time.Millisecond, func() { s.dispatch(request) })
		return
	}
	request.worker = worker
	s.inFlight[request] = true
	if entry.Zone != s.ingresses[request.ingress].zone {
		s.crossZone++
	}
	request.tried[entry.Worker] = true
	worker.received[s.currentSecond()]++
	worker.publishSuspicion(s)
	worker.queue = append(worker.queue, request)
	worker.startQueued(s)
}

func (s *simulation) currentSecond() int { return int(time.Since(s.started) / time.Second) }

func (w *simWorker) startQueued(sim *simulation) {
	for w.busy < w.slots && len(w.queue) > 0 {
		request := w.queue[0]
		w.queue = w.queue[1:]
		w.busy++
		request.run = w.stats.RunStarted(sim.ingresses[w.index].UsualRunMS("p"))
		runTime := time.Duration(float64(sim.runTime) * w.runTimeFactor * (0.5 + sim.random.Float64()))
		ok := true
		kind, severity := "", 0.0
		if w.failure != nil {
			kind, severity = w.failure(time.Since(sim.started))
		}
		switch {
		case kind == "slow":
			runTime = time.Duration(float64(runTime) * severity)
		case kind == "errors" && sim.random.Float64() < severity:
			runTime, ok = 5*time.Millisecond, false
		case kind == "shed" && sim.random.Float64() < severity:
			runTime, ok, request.rejected = 2*time.Millisecond, false, true
		case kind == "hang" && sim.random.Float64() < severity:
			runTime, ok = 3*time.Second, false
		case kind == "down":
			runTime, ok = time.Millisecond, false
		}
		sim.after(runTime, func() { w.finish(sim, request, ok) })
	}
}

func (w *simWorker) finish(sim *simulation, request *simRequest, ok bool) {
	w.busy--
	delete(sim.inFlight, request)
	ms := w.stats.RunEnded(request.run)
	if ok {
		w.stats.RecordRun("p", ms, sim.ingresses[w.index].UsualRunMS("p"))
	} else {
		w.stats.RecordFailures(1)
		w.failed[sim.currentSecond()]++
	}
	w.publishSuspicion(sim)
	late := time.Since(request.arrived) > sim.target
	if !sim.randomPick {
		sim.ingresses[request.ingress].RecordOutcome(Outcome{Worker: sim.entries[w.index].Worker, Service: "s", Route: "p", UsedSlots: w.busy + len(w.queue), RoundTrip: time.Since(request.arrived),
			RunTime: time.Duration(ms * float64(time.Millisecond)), MissedTarget: late, OK: ok, AboutWorker: !request.rejected, Report: w.stats.Report()})
	}
	sim.record(request, !ok || late)
	w.startQueued(sim)
}

// record counts the result of a request; bad means that it failed or missed its
// target.
func (s *simulation) record(request *simRequest, bad bool) {
	s.counts["all"]++
	if bad {
		s.counts["bad"]++
	}
	if request.repeatable {
		return
	}
	s.counts["once"]++
	if bad {
		s.counts["bad once"]++
	}
}

// recordOverdue counts requests in flight that have already missed their target.
func (s *simulation) recordOverdue() {
	for request := range s.inFlight {
		if time.Since(request.arrived) > s.target {
			s.record(request, true)
		}
	}
}

// loadShare is the fraction of the requests of some seconds that a group of workers
// received, relative to an even distribution.
func (s *simulation) loadShare(from, to int, inGroup func(worker *simWorker) bool) float64 {
	groupTotal, total, groupSize := 0, 0, 0
	for _, worker := range s.workers {
		member := inGroup(worker)
		if member {
			groupSize++
		}
		for second := from; second < to; second++ {
			total += worker.received[second]
			if member {
				groupTotal += worker.received[second]
			}
		}
	}
	return float64(groupTotal) / float64(total) / (float64(groupSize) / float64(len(s.workers)))
}
