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

// appFaults are what befalls the core under applications' calls; each returns
// when all is mended.
var appFaults = []struct {
	name string
	do   func(f *Fleet, rnd *rand.Rand, long time.Duration)
}{
	{"control node frozen", func(f *Fleet, rnd *rand.Rand, long time.Duration) {
		c := f.Cores[rnd.IntN(3)]
		f.Net.Freeze("core-"+c.Host, true)
		Wait(long)
		f.Net.Freeze("core-"+c.Host, false)
	}},
	{"writer frozen", func(f *Fleet, _ *rand.Rand, long time.Duration) {
		if c := f.Writer(); c != nil {
			f.Net.Freeze("store-"+c.Host, true)
			Wait(long)
			f.Net.Freeze("store-"+c.Host, false)
		}
	}},
	{"machine frozen", func(f *Fleet, rnd *rand.Rand, long time.Duration) {
		c := f.Cores[rnd.IntN(3)]
		for _, p := range []string{"core-", "store-"} {
			f.Net.Freeze(p+c.Host, true)
		}
		Wait(long)
		for _, p := range []string{"core-", "store-"} {
			f.Net.Freeze(p+c.Host, false)
		}
	}},
	{"core links cut", func(f *Fleet, rnd *rand.Rand, long time.Duration) {
		a, b := f.Cores[rnd.IntN(3)].Host, f.Cores[rnd.IntN(3)].Host
		f.Net.Cut(a, b, true)
		Wait(long)
		f.Net.Cut(a, b, false)
	}},
	{"core machine cut off", func(f *Fleet, rnd *rand.Rand, long time.Duration) {
		c := f.Cores[rnd.IntN(3)]
		each := func(on bool) {
			for _, o := range f.Cores {
				if o != c {
					f.Net.Cut(c.Host, o.Host, on)
					f.Net.Cut(o.Host, c.Host, on)
				}
			}
		}
		each(true)
		Wait(long)
		each(false)
	}},
	{"writer killed", func(f *Fleet, _ *rand.Rand, long time.Duration) {
		if c := f.Writer(); c != nil {
			f.KillCore(c, true)
			Wait(long)
			f.BackCore(c)
		}
	}},
	{"all lose power", func(f *Fleet, _ *rand.Rand, long time.Duration) {
		for _, c := range f.Cores {
			f.KillCore(c, true)
		}
		Wait(long / 2)
		for _, c := range f.Cores {
			f.BackCore(c)
		}
	}},
	{"a disk lost", func(f *Fleet, rnd *rand.Rand, long time.Duration) {
		c := f.Cores[rnd.IntN(3)]
		f.KillCore(c, true)
		c.Disk.Wipe()
		Wait(long / 2)
		f.BackCore(c)
		f.Until(15*time.Second, "the wiped one is back", f.coreReady)
	}},
	{"writer's disk slow", func(f *Fleet, _ *rand.Rand, long time.Duration) {
		if c := f.Writer(); c != nil {
			c.Disk.Slow(long / 5)
			Wait(long)
			c.Disk.Slow(0)
		}
	}},
}

// appDay plays applications against the core machines while faults come one
// after the other, and counts every breach from the sockets alone.
func (f *Fleet) appDay(seed uint64, faults int, only string) (map[string]int, time.Duration) {
	f.Net.Place("10.0.9.7", "outside")
	wit := checker.New(checker.Usual)
	e := f.env("apps", "10.0.9.7", "outside", new(atomic.Int64))
	apps := actors.NewApps(e, func() []string {
		var at []string
		for _, c := range f.Cores {
			at = append(at, c.Host+":7003")
		}
		return append(at, f.Nodes[0].Host+":7003")
	}, wit, f.g, seed)
	apps.Locks, apps.Rate, apps.Callers = 3, 70, 10
	ctx, end := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { apps.Run(ctx); close(over) }()
	rnd := rand.New(rand.NewPCG(seed, 77))
	for range faults {
		Wait(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
		i := rnd.IntN(len(appFaults))
		for only != "" && appFaults[i].name != only {
			i = rnd.IntN(len(appFaults))
		}
		appFaults[i].do(f, rnd, time.Duration(200+rnd.IntN(3000))*time.Millisecond)
	}
	Wait(3 * time.Second)
	end()
	<-over
	f.serves(15 * time.Second)
	apps.Finish(context.Background())
	Wait(4 * time.Second)
	bad, notes := wit.Verdict()
	for _, n := range notes {
		f.T.Log(n)
	}
	for rule, n := range bad {
		f.T.Errorf("%d × %s", n, rule)
	}
	done, worst := apps.Done()
	return done, worst
}

// TestAppDays: applications' locks, numbers, keys and watches keep their rules
// through each fault of the core. The search by command:
// PUFFIN_SEEDS=100 go test ./internal/sim -run AppDays
func TestAppDays(t *testing.T) {
	t.Parallel()
	for i, k := range appFaults {
		for seed := range seeds(1) {
			t.Run(fmt.Sprint(k.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := NewFleet(t, small(), seed+uint64(i)*1000+600)
					defer f.Stop()
					f.Start()
					done, worst := f.appDay(seed*31+uint64(i), 5, k.name)
					if done["take 200"] < 10 || done["put 200"] < 100 || done["watch 200"] < 20 {
						t.Errorf("too little was called: %v", done)
					}
					t.Logf("%v, the longest %v", done, worst)
				})
			})
		}
	}
}
