package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"puffincrank/internal/standin/actors"
)

// trouble is one thing that may happen; core tells that it takes a machine of the
// core, of which one may be away at a time.
type trouble struct {
	name string
	core bool
	do   func(f *fleet, r *rand.Rand)
}

// list is what is drawn from. Names that stand twice are drawn twice as often.
var list = []trouble{
	{"a worker leaves", false, (*fleet).workerLeaves},
	{"a worker leaves", false, (*fleet).workerLeaves},
	{"a worker crashes", false, (*fleet).workerCrashes},
	{"a worker is ill", false, (*fleet).workerIll},
	{"callers leave", false, (*fleet).callersLeave},
	{"callers leave", false, (*fleet).callersLeave},
	{"nodes are stopped in turn", false, (*fleet).roll},
	{"a node is killed", false, (*fleet).killNode},
	{"a node is frozen", false, (*fleet).freezeNode},
	{"a node is frozen while its worker leaves", false, (*fleet).freezeLeaving},
	{"settings are read again, in series", false, (*fleet).hangup},
	{"a barrage of signals at a node", false, (*fleet).barrage},
	{"many nodes are killed at once", false, (*fleet).herd},
	{"more load", false, (*fleet).pressOn},
	{"the configuration changes", false, (*fleet).change},
	{"two operators change the configuration", false, (*fleet).race},
	{"an older configuration comes again", false, func(f *fleet, _ *rand.Rand) { f.op.Again(f.g.Context()) }},
	{"a core machine is killed", true, (*fleet).killCore},
	{"a core machine is stopped", true, (*fleet).stopCore},
	{"a core process is frozen", true, (*fleet).freezeCore},
	{"a core machine loses its disk", true, (*fleet).wipeCore},
	{"a core machine is replaced", true, (*fleet).replaceCore},
	{"all of the core is killed", true, (*fleet).killAllCore},
}

// plannedWork is what operators and the platform do in order: it may break off nothing.
var plannedWork = []trouble{
	{"nodes are stopped in turn", false, (*fleet).roll},
	{"nodes are stopped in turn", false, (*fleet).roll},
	{"several nodes are stopped at once", false, (*fleet).rollAtOnce},
	{"several nodes are stopped at once", false, (*fleet).rollAtOnce},
	{"nodes are stopped in steps that overlap", false, (*fleet).rollInSteps},
	{"nodes are stopped in steps that overlap", false, (*fleet).rollInSteps},
	{"settings are read again, in series", false, (*fleet).hangup},
	{"a worker leaves", false, (*fleet).workerLeaves},
	{"a series of changes", false, (*fleet).changes},
	{"a series of changes", false, (*fleet).changes},
	{"two operators change the configuration", false, (*fleet).race},
	{"an older configuration comes again", false, func(f *fleet, _ *rand.Rand) { f.op.Again(f.g.Context()) }},
	{"more load", false, (*fleet).pressOn},
}

// plannedPart is the part of a soak in which only planned work is done, as one over
// it: with a kill or a freeze near, what a stop cuts off is not judged.
const plannedPart = 2

// troubles draws one after the other until the time is over, and waits for the last
// to end. They overlap; of the core's no two do.
func (f *fleet) troubles() {
	r := rand.New(rand.NewPCG(f.o.Seed, 91))
	planned := f.o.Long / plannedPart
	f.draw(r, plannedWork, planned, 50*time.Millisecond, 500*time.Millisecond)
	f.say("planned work is over")
	f.draw(r, list, f.o.Long-planned, 150*time.Millisecond, 1200*time.Millisecond)
	for _, m := range f.machines {
		m.client.Quits(0.02)
	}
}

// draw begins troubles of a list for a time, with a pause between two, and waits for
// the last to end.
func (f *fleet) draw(r *rand.Rand, of []trouble, long, least, more time.Duration) {
	var over sync.WaitGroup
	core := make(chan struct{}, 1)
	for from := time.Now(); time.Since(from) < long; pause(span(r, least, more)) {
		t, own := of[r.IntN(len(of))], rand.New(rand.NewPCG(r.Uint64(), 92))
		over.Add(1)
		f.g.Go("trouble", func(context.Context) {
			defer over.Done()
			if t.core {
				select {
				case core <- struct{}{}:
					defer func() { <-core }()
				default:
					return
				}
			}
			f.say("%s", t.name)
			t.do(f, own)
		})
	}
	over.Wait()
}

// take picks a machine that no other trouble has in hand; nil if there is none, or
// if its service would keep less than two thirds of its workers.
func (f *fleet) take(r *rand.Rand) *machine {
	for range 20 {
		m := f.machines[r.IntN(len(f.machines))]
		if f.hold(m) {
			return m
		}
	}
	return nil
}

func (f *fleet) hold(m *machine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	free, all := 0, 0
	for _, o := range f.machines {
		if o.service == m.service {
			all++
			if !o.busy && o != m {
				free++
			}
		}
	}
	if m.busy || 3*free < 2*all-1 {
		return false
	}
	m.busy = true
	return true
}

func (f *fleet) free(m *machine) {
	f.mu.Lock()
	m.busy = false
	f.mu.Unlock()
}

// with does something to a machine that no other trouble has in hand, which is no
// longer in touch for it.
func (f *fleet) with(r *rand.Rand, what string, do func(m *machine)) {
	m := f.take(r)
	if m == nil {
		return
	}
	defer f.free(m)
	if what != "" {
		defer f.wit.Touch.Begin(m.name, what)()
	}
	do(m)
}

func (f *fleet) workerLeaves(r *rand.Rand) {
	f.with(r, "", func(m *machine) {
		m.at().Leave(context.Background())
		f.startWorker(m)
	})
}

func (f *fleet) workerCrashes(r *rand.Rand) {
	f.with(r, "", func(m *machine) {
		m.at().Kill()
		pause(span(r, 100*time.Millisecond, 1500*time.Millisecond))
		f.startWorker(m)
	})
}

func (f *fleet) workerIll(r *rand.Rand) {
	ills := []actors.Ills{{Slow: 3 + 5*r.Float64()}, {Lose: 0.1 + 0.4*r.Float64()}, {Spoil: 0.1 + 0.4*r.Float64()}, {Fail: 0.3}, {Tear: 0.3}, {Hang: 0.1}, {Shed: 0.3}}
	f.with(r, "", func(m *machine) {
		w := m.at()
		w.Fall(ills[r.IntN(len(ills))])
		pause(span(r, time.Second, 4*time.Second))
		w.Fall(actors.Ills{})
	})
}

func (f *fleet) callersLeave(r *rand.Rand) {
	part := 0.2 + 0.5*r.Float64()
	for _, m := range f.machines {
		m.client.Quits(part)
	}
	pause(span(r, 2*time.Second, 4*time.Second))
	for _, m := range f.machines {
		m.client.Quits(0.02)
	}
}

func (f *fleet) pressOn(r *rand.Rand) {
	f.press.Store(int64(150 + r.IntN(200)))
	pause(span(r, time.Second, 4*time.Second))
	f.press.Store(100)
}
