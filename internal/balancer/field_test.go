package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"puffincrank/internal/ormap"
)

// A field is a mesh of fronts and workers of one service in virtual time: each
// worker has its slots, its speed, a queue, and an owner that measures it and
// tells all fronts of its doubts.
type field struct {
	dice    *rand.Rand
	fronts  []*Balancer
	all     []ormap.Entry
	hands   []*hand
	todo    events
	aim     time.Duration
	work    time.Duration
	rate    float64 // jobs a second
	safe    float64 // part of the jobs that may be sent again
	blind   bool    // workers are chosen by mere chance, to compare with
	counts  map[string]int
	open    map[*job]bool
	rushes  int // how often a job goes on rather than waits
	rushed  int // hand-overs of jobs that did
	far     int // jobs that went to another area
	told    int // entries that were told anew
	started time.Time
}

// hand is one worker and its owner's measure.
type hand struct {
	at          int
	slots, now  int
	wait        []*job
	speed       float64
	ill         func(now time.Duration) (how string, x float64)
	own         *WorkerStats
	told        int
	got, failed map[int]int // by second
}

type job struct {
	front int
	hand  *hand
	from  time.Time
	safe  bool
	run   *ActiveRun
	tried map[string]bool
	rush  int
	shed  bool // turned away by the worker
}

func (f *field) in(d time.Duration, do func()) {
	heap.Push(&f.todo, happen{time.Now().Add(d), do})
}

const window = 10 * time.Second

func newField(fronts, workers, areas int, seed uint64) *field {
	f := &field{dice: rand.New(rand.NewPCG(seed, 7)), aim: time.Second, work: 270 * time.Millisecond, safe: 1, counts: map[string]int{}, open: map[*job]bool{}, started: time.Now()}
	for i := range fronts {
		f.fronts = append(f.fronts, New(strconv.Itoa(i%areas), 200*time.Millisecond, window, nil))
	}
	speeds := []float64{1, 1, 1.5, 0.5, 1}
	for i := range workers {
		f.hands = append(f.hands, &hand{at: i, slots: 12, speed: speeds[i/areas%len(speeds)], own: NewWorkerStats(window), got: map[int]int{}, failed: map[int]int{}})
		f.all = append(f.all, entry(fmt.Sprint("w", i), strconv.Itoa(i%areas)))
		f.all[i].Meta["slots"] = "12"
	}
	// Six tenths of the slots are busy.
	f.rate = 0.6 * float64(workers*12) / f.work.Seconds()
	return f
}

// doubt tells all fronts what the owner thinks, as a new entry.
func (h *hand) doubt(f *field) {
	d := h.own.Suspicion(f.fronts[h.at].FailureRate("s"))
	if d == h.told {
		return
	}
	h.told = d
	f.told++
	f.in(50*time.Millisecond, func() {
		f.all = append([]ormap.Entry(nil), f.all...)
		meta := map[string]string{"slots": "12", "state": "up"}
		if h.told > 0 {
			meta["doubts"] = strconv.Itoa(h.told)
		}
		f.all[h.at].Meta = meta
	})
}

func (f *field) play(long time.Duration) {
	end := time.Now().Add(long)
	var come func()
	come = func() {
		f.in(time.Duration(f.dice.ExpFloat64()/f.rate*float64(time.Second)), come)
		f.send(&job{front: f.dice.IntN(len(f.fronts)), from: time.Now(), safe: f.dice.Float64() < f.safe, tried: map[string]bool{}})
	}
	if len(f.todo) == 0 {
		f.in(0, come)
	}
	for f.todo[0].at.Before(end) {
		e := heap.Pop(&f.todo).(happen)
		t := time.NewTimer(time.Until(e.at))
		<-t.C
		e.do()
	}
}

func (f *field) send(k *job) {
	e, ok := ormap.Entry{}, true
	if f.blind {
		e = f.all[f.dice.IntN(len(f.all))]
	} else {
		e, ok = f.fronts[k.front].Pick(f.all, PickRequest{Route: "p", Target: f.aim - time.Since(k.from), Repeatable: k.safe, Tried: k.tried})
	}
	if !ok {
		f.counts["nobody"]++
		return
	}
	at, _ := strconv.Atoi(e.Worker[1:])
	h := f.hands[at]
	if !f.blind && k.rush < f.rushes && h.now >= h.slots && f.fronts[k.front].HasFreeSlots("s") {
		f.fronts[k.front].RecordOutcome(Outcome{Worker: e.Worker, Service: "s", UsedSlots: h.now + len(h.wait)})
		k.tried[e.Worker] = true
		f.rushed++
		if k.rush++; k.rush == f.rushes || len(k.tried) == len(f.all) {
			k.rush = f.rushes
			clear(k.tried)
		}
		f.in(2*time.Millisecond, func() { f.send(k) })
		return
	}
	k.hand = h
	f.open[k] = true
	if e.Zone != f.fronts[k.front].area {
		f.far++
	}
	k.tried[e.Worker] = true
	h.got[f.second()]++
	h.doubt(f)
	h.wait = append(h.wait, k)
	h.next(f)
}

func (f *field) second() int { return int(time.Since(f.started) / time.Second) }

func (h *hand) next(f *field) {
	for h.now < h.slots && len(h.wait) > 0 {
		k := h.wait[0]
		h.wait = h.wait[1:]
		h.now++
		k.run = h.own.RunStarted(f.fronts[h.at].UsualRunMS("p"))
		took := time.Duration(float64(f.work) * h.speed * (0.5 + f.dice.Float64()))
		ok := true
		how, x := "", 0.0
		if h.ill != nil {
			how, x = h.ill(time.Since(f.started))
		}
		switch {
		case how == "slow":
			took = time.Duration(float64(took) * x)
		case how == "errors" && f.dice.Float64() < x:
			took, ok = 5*time.Millisecond, false
		case how == "shed" && f.dice.Float64() < x:
			took, ok, k.shed = 2*time.Millisecond, false, true
		case how == "hang" && f.dice.Float64() < x:
			took, ok = 3*time.Second, false
		case how == "down":
			took, ok = time.Millisecond, false
		}
		f.in(took, func() { h.done(f, k, ok) })
	}
}

func (h *hand) done(f *field, k *job, ok bool) {
	h.now--
	delete(f.open, k)
	ms := h.own.RunEnded(k.run)
	if ok {
		h.own.RecordRun("p", ms, f.fronts[h.at].UsualRunMS("p"))
	} else {
		h.own.RecordFailures(1)
		h.failed[f.second()]++
	}
	h.doubt(f)
	late := time.Since(k.from) > f.aim
	if !f.blind {
		f.fronts[k.front].RecordOutcome(Outcome{Worker: f.all[h.at].Worker, Service: "s", Route: "p", UsedSlots: h.now + len(h.wait), RoundTrip: time.Since(k.from),
			RunTime: time.Duration(ms * float64(time.Millisecond)), MissedTarget: late, OK: ok, AboutWorker: !k.shed, Report: h.own.Report()})
	}
	f.count(k, !ok || late)
	h.next(f)
}

// count takes in how a job ended, or that it is over its aim.
func (f *field) count(k *job, bad bool) {
	f.counts["all"]++
	if bad {
		f.counts["bad"]++
	}
	if k.safe {
		return
	}
	f.counts["once"]++
	if bad {
		f.counts["bad once"]++
	}
}

// overdue takes in those under way that are over their aim already.
func (f *field) overdue() {
	for k := range f.open {
		if time.Since(k.from) > f.aim {
			f.count(k, true)
		}
	}
}

// part is what part of all jobs of some seconds some workers had, against what
// they would have of an even share.
func (f *field) part(from, to int, of func(h *hand) bool) float64 {
	mine, all, many := 0, 0, 0
	for _, h := range f.hands {
		is := of(h)
		if is {
			many++
		}
		for s := from; s < to; s++ {
			all += h.got[s]
			if is {
				mine += h.got[s]
			}
		}
	}
	return float64(mine) / float64(all) / (float64(many) / float64(len(f.hands)))
}
