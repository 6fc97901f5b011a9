package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// controlFaults are the faults of the control plane during application calls. Each function
// returns when the fault is repaired.
var controlFaults = []struct {
	name string
	do   func(f *Fleet, rnd *rand.Rand, duration time.Duration)
}{
	{"control node frozen", func(f *Fleet, rnd *rand.Rand, duration time.Duration) {
		c := f.ControlMachines[rnd.IntN(3)]
		f.Net.PauseProcess("core-"+c.Host, true)
		Wait(duration)
		f.Net.PauseProcess("core-"+c.Host, false)
	}},
	{"writer frozen", func(f *Fleet, _ *rand.Rand, duration time.Duration) {
		if c := f.Leader(); c != nil {
			f.Net.PauseProcess("store-"+c.Host, true)
			Wait(duration)
			f.Net.PauseProcess("store-"+c.Host, false)
		}
	}},
	{"machine frozen", func(f *Fleet, rnd *rand.Rand, duration time.Duration) {
		c := f.ControlMachines[rnd.IntN(3)]
		for _, p := range []string{"core-", "store-"} {
			f.Net.PauseProcess(p+c.Host, true)
		}
		Wait(duration)
		for _, p := range []string{"core-", "store-"} {
			f.Net.PauseProcess(p+c.Host, false)
		}
	}},
	{"core links cut", func(f *Fleet, rnd *rand.Rand, duration time.Duration) {
		a, b := f.ControlMachines[rnd.IntN(3)].Host, f.ControlMachines[rnd.IntN(3)].Host
		f.Net.Cut(a, b, true)
		Wait(duration)
		f.Net.Cut(a, b, false)
	}},
	{"core machine cut off", func(f *Fleet, rnd *rand.Rand, duration time.Duration) {
		c := f.ControlMachines[rnd.IntN(3)]
		each := func(on bool) {
			for _, o := range f.ControlMachines {
				if o != c {
					f.Net.Cut(c.Host, o.Host, on)
					f.Net.Cut(o.Host, c.Host, on)
				}
			}
		}
		each(true)
		Wait(duration)
		each(false)
	}},
	{"writer killed", func(f *Fleet, _ *rand.Rand, duration time.Duration) {
		if c := f.Leader(); c != nil {
			f.KillControlMachine(c, true)
			Wait(duration)
			f.RestartControlMachine(c)
		}
	}},
	{"all lose power", func(f *Fleet, _ *rand.Rand, duration time.Duration) {
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
		Wait(duration / 2)
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
	}},
	{"a disk lost", func(f *Fleet, rnd *rand.Rand, duration time.Duration) {
		c := f.ControlMachines[rnd.IntN(3)]
		f.KillControlMachine(c, true)
		c.Disk.Wipe()
		Wait(duration / 2)
		f.RestartControlMachine(c)
		f.Until(15*time.Second, "the machine with the wiped disk is ready", f.controlPlaneReady)
	}},
	{"writer's disk slow", func(f *Fleet, _ *rand.Rand, duration time.Duration) {
		if c := f.Leader(); c != nil {
			c.Disk.SetSyncDelay(duration / 5)
			Wait(duration)
			c.Disk.SetSyncDelay(0)
		}
	}},
}

// appDay runs applications against the control plane during a series of faults, and checks
// the invariants only by what the applications saw on their sockets.
func (f *Fleet) appDay(seed uint64, faults int, onlyFault string) (map[string]int, time.Duration) {
	f.Net.SetZone("10.0.9.7", "outside")
	invariants := checker.New(checker.UsualBounds)
	environment := f.env("apps", "10.0.9.7", "outside", new(atomic.Int64))
	apps := actors.NewApps(environment, func() []string {
		var addresses []string
		for _, c := range f.ControlMachines {
			addresses = append(addresses, c.Host+":7003")
		}
		return append(addresses, f.Nodes[0].Host+":7003")
	}, invariants, f.g, seed)
	apps.Locks, apps.Rate, apps.Callers = 3, 70, 10
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { apps.Run(ctx); close(finished) }()
	rnd := rand.New(rand.NewPCG(seed, 77))
	for range faults {
		Wait(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
		i := rnd.IntN(len(controlFaults))
		for onlyFault != "" && controlFaults[i].name != onlyFault {
			i = rnd.IntN(len(controlFaults))
		}
		controlFaults[i].do(f, rnd, time.Duration(200+rnd.IntN(3000))*time.Millisecond)
	}
	Wait(3 * time.Second)
	cancel()
	<-finished
	f.untilWritable(15 * time.Second)
	apps.Finish(context.Background())
	Wait(4 * time.Second)
	violations, notes := invariants.Breaches()
	for _, n := range notes {
		f.T.Log(n)
	}
	for rule, n := range violations {
		f.T.Errorf("%d × %s", n, rule)
	}
	done, longest := apps.Done()
	return done, longest
}

// TestAppDays checks that locks, numbers, keys and watches of applications keep their
// guarantees during each fault of the control plane. To search more seeds:
// PUFFIN_SEEDS=100 go test ./internal/sim -run AppDays
func TestAppDays(t *testing.T) {
	t.Parallel()
	for i, fault := range controlFaults {
		for seed := range seeds(1) {
			t.Run(fmt.Sprint(fault.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := NewFleet(t, smallShape(), seed+uint64(i)*1000+600)
					defer f.Stop()
					f.Start()
					done, longest := f.appDay(seed*31+uint64(i), 5, fault.name)
					if done["take 200"] < 10 || done["put 200"] < 100 || done["watch 200"] < 20 {
						t.Errorf("too few calls were answered: %v", done)
					}
					t.Logf("%v, the longest call took %v", done, longest)
				})
			})
		}
	}
}
