package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"puffincrank/internal/standin/actors"
)

// disruption is a fault or an operation. Those of the control plane take one of its
// machines down; only one may be down at a time.
type disruption struct {
	name         string
	controlPlane bool
	run          func(f *fleet, r *rand.Rand)
}

// unplanned are the disruptions of the second phase. Entries that are listed twice are
// drawn twice as often.
var unplanned = []disruption{
	{"a worker leaves", false, (*fleet).workerLeaves},
	{"a worker leaves", false, (*fleet).workerLeaves},
	{"a worker crashes", false, (*fleet).workerCrashes},
	{"a worker is ill", false, (*fleet).workerMisbehaves},
	{"callers leave", false, (*fleet).callersAbandonRequests},
	{"callers leave", false, (*fleet).callersAbandonRequests},
	{"nodes are stopped in turn", false, (*fleet).restartInTurn},
	{"a node is killed", false, (*fleet).killProxy},
	{"a node is frozen", false, (*fleet).pauseProxy},
	{"a node is frozen while its worker leaves", false, (*fleet).pauseProxyWhileWorkerLeaves},
	{"settings are read again, in series", false, (*fleet).reloadSettingsRepeatedly},
	{"a barrage of signals at a node", false, (*fleet).sendOverlappingSignals},
	{"many nodes are killed at once", false, (*fleet).killManyProxies},
	{"more load", false, (*fleet).raiseLoad},
	{"the configuration changes", false, (*fleet).changeConfig},
	{"two operators change the configuration", false, (*fleet).changeConfigConcurrently},
	{"an older configuration comes again", false, func(f *fleet, _ *rand.Rand) { f.operator.Resend(f.tasks.Context()) }},
	{"a core machine is killed", true, (*fleet).killControlMachine},
	{"a core machine is stopped", true, (*fleet).stopControlMachine},
	{"a core process is frozen", true, (*fleet).pauseControlProcess},
	{"a core machine loses its disk", true, (*fleet).wipeControlMachine},
	{"a core machine is replaced", true, (*fleet).replaceControlMachine},
	{"all of the core is killed", true, (*fleet).killControlPlane},
}

// planned are the operations of operators and the platform, which must not interrupt any
// request.
var planned = []disruption{
	{"nodes are stopped in turn", false, (*fleet).restartInTurn},
	{"nodes are stopped in turn", false, (*fleet).restartInTurn},
	{"several nodes are stopped at once", false, (*fleet).restartTogether},
	{"several nodes are stopped at once", false, (*fleet).restartTogether},
	{"nodes are stopped in steps that overlap", false, (*fleet).restartInSteps},
	{"nodes are stopped in steps that overlap", false, (*fleet).restartInSteps},
	{"settings are read again, in series", false, (*fleet).reloadSettingsRepeatedly},
	{"a worker leaves", false, (*fleet).workerLeaves},
	{"a series of changes", false, (*fleet).changeConfigRepeatedly},
	{"a series of changes", false, (*fleet).changeConfigRepeatedly},
	{"two operators change the configuration", false, (*fleet).changeConfigConcurrently},
	{"an older configuration comes again", false, func(f *fleet, _ *rand.Rand) { f.operator.Resend(f.tasks.Context()) }},
	{"more load", false, (*fleet).raiseLoad},
}

// plannedFraction is the divisor for the part of a run that has planned operations only:
// requests that a shutdown interrupts are not judged close to a kill or a pause.
const plannedFraction = 2

// runDisruptions runs first planned and then unplanned disruptions, and waits for the last
// to end. They overlap, except those of the control plane.
func (f *fleet) runDisruptions() {
	r := rand.New(rand.NewPCG(f.options.Seed, 91))
	plannedDuration := f.options.Duration / plannedFraction
	f.runRandom(r, planned, plannedDuration, 50*time.Millisecond, 500*time.Millisecond)
	f.logf("planned work is over")
	f.runRandom(r, unplanned, f.options.Duration-plannedDuration, 150*time.Millisecond, 1200*time.Millisecond)
	for _, m := range f.machines {
		m.client.SetEarlyLeaveShare(0.02)
	}
}

// runRandom starts random disruptions of a list for a time, with random intervals, and waits
// for the last to end.
func (f *fleet) runRandom(r *rand.Rand, disruptions []disruption, duration, least, spread time.Duration) {
	var running sync.WaitGroup
	controlPlane := make(chan struct{}, 1)
	for begin := time.Now(); time.Since(begin) < duration; sleep(randomDuration(r, least, spread)) {
		next, random := disruptions[r.IntN(len(disruptions))], rand.New(rand.NewPCG(r.Uint64(), 92))
		running.Add(1)
		f.tasks.Go("trouble", func(context.Context) {
			defer running.Done()
			if next.controlPlane {
				select {
				case controlPlane <- struct{}{}:
					defer func() { <-controlPlane }()
				default:
					return
				}
			}
			f.logf("%s", next.name)
			next.run(f, random)
		})
	}
	running.Wait()
}

// acquireMachine picks a machine that no other disruption uses. It returns nil if none can
// be taken without leaving its service with less than about two thirds of its workers.
func (f *fleet) acquireMachine(r *rand.Rand) *machine {
	for range 20 {
		m := f.machines[r.IntN(len(f.machines))]
		if f.tryAcquire(m) {
			return m
		}
	}
	return nil
}

func (f *fleet) tryAcquire(m *machine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	available, total := 0, 0
	for _, other := range f.machines {
		if other.service == m.service {
			total++
			if !other.inUse && other != m {
				available++
			}
		}
	}
	if m.inUse || 3*available < 2*total-1 {
		return false
	}
	m.inUse = true
	return true
}

func (f *fleet) release(m *machine) {
	f.mu.Lock()
	m.inUse = false
	f.mu.Unlock()
}

// withMachine runs an action on a machine that no other disruption uses. With a reason, the
// recorder counts the machine as disconnected meanwhile.
func (f *fleet) withMachine(r *rand.Rand, reason string, action func(m *machine)) {
	m := f.acquireMachine(r)
	if m == nil {
		return
	}
	defer f.release(m)
	if reason != "" {
		defer f.recorder.Faults.Begin(m.name, reason)()
	}
	action(m)
}

func (f *fleet) workerLeaves(r *rand.Rand) {
	f.withMachine(r, "", func(m *machine) {
		m.currentWorker().Leave(context.Background())
		f.startWorker(m)
	})
}

func (f *fleet) workerCrashes(r *rand.Rand) {
	f.withMachine(r, "", func(m *machine) {
		m.currentWorker().Kill()
		sleep(randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond))
		f.startWorker(m)
	})
}

func (f *fleet) workerMisbehaves(r *rand.Rand) {
	faults := []actors.Faults{{Slow: 3 + 5*r.Float64()}, {Lose: 0.1 + 0.4*r.Float64()}, {Spoil: 0.1 + 0.4*r.Float64()}, {Fail: 0.3}, {Tear: 0.3}, {Hang: 0.1}, {Shed: 0.3}}
	f.withMachine(r, "", func(m *machine) {
		w := m.currentWorker()
		w.SetFaults(faults[r.IntN(len(faults))])
		sleep(randomDuration(r, time.Second, 4*time.Second))
		w.SetFaults(actors.Faults{})
	})
}

func (f *fleet) callersAbandonRequests(r *rand.Rand) {
	share := 0.2 + 0.5*r.Float64()
	for _, m := range f.machines {
		m.client.SetEarlyLeaveShare(share)
	}
	sleep(randomDuration(r, 2*time.Second, 4*time.Second))
	for _, m := range f.machines {
		m.client.SetEarlyLeaveShare(0.02)
	}
}

func (f *fleet) raiseLoad(r *rand.Rand) {
	f.loadPercent.Store(int64(150 + r.IntN(200)))
	sleep(randomDuration(r, time.Second, 4*time.Second))
	f.loadPercent.Store(100)
}
