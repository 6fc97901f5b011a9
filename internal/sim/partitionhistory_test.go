package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// corePartitions lists the ways in which one control-plane machine, or half of them,
// is cut off; the same function with on false heals the partition.
var corePartitions = []struct {
	name string
	do   func(l *coreFleet, c *ControlMachine, others []string, on bool)
}{
	{"from the core", func(l *coreFleet, c *ControlMachine, others []string, on bool) { l.Net.Partition(c.Host, others, on) }},
	{"from everybody", func(l *coreFleet, c *ControlMachine, _ []string, on bool) { l.Net.Isolate(c.Host, on) }},
	{"on its way out", func(l *coreFleet, c *ControlMachine, others []string, on bool) {
		for _, o := range others {
			l.Net.Cut(c.Host, o, on)
		}
	}},
	{"on its way in", func(l *coreFleet, c *ControlMachine, others []string, on bool) {
		for _, o := range others {
			l.Net.Cut(o, c.Host, on)
		}
	}},
	{"by resets", func(l *coreFleet, c *ControlMachine, _ []string, on bool) {
		for range 20 {
			if on {
				l.Net.Reset(c.Host, 1)
				Wait(time.Second)
			}
		}
	}},
	{"with half of the core", func(l *coreFleet, c *ControlMachine, others []string, on bool) {
		half := append([]string{c.Host}, others[:len(others)/2-1+len(others)%2]...)
		for _, a := range half {
			for _, b := range others[len(half)-1:] {
				l.Net.Partition(a, []string{b}, on)
			}
		}
	}},
}

// TestCutTwentySeconds cuts a control-plane machine off for 20 s and heals it, while
// callers read and write at every machine, including that one. All answers must be
// linearizable: no stale configuration, key or number, no confirmed change that is
// not in force, no lock held twice. The other machines must keep serving.
func TestCutTwentySeconds(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 5} {
		// The runtime of the race detector crashed in runs with five machines.
		if testing.Short() && cores == 5 {
			continue
		}
		for i, cut := range corePartitions {
			for _, cutLeader := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d, %s, leader %v", cores, cut.name, cutLeader), func(t *testing.T) {
					t.Parallel()
					calls := &history{answered: map[string]int{}}
					target := ""
					synctest.Test(t, func(t *testing.T) { target = runPartition(t, calls, cores, uint64(i), cutLeader, cut.do) })
					calls.check(t)
					for address, n := range calls.answered {
						if address != target && n < 20 {
							t.Errorf("machine %s answered only %d calls", address, n)
						}
					}
					t.Logf("%d key calls, %d numbers, %d configuration changes and reads, %d locks held", len(calls.keys), len(calls.numbers), len(calls.orders), len(calls.holds))
				})
			}
		}
	}
}

// runPartition injects the partition and returns the host that was cut off.
func runPartition(t *testing.T, calls *history, cores int, seed uint64, cutLeader bool, cut func(*coreFleet, *ControlMachine, []string, bool)) string {
	fleet := newCoreFleet(t, 940+seed, cores, (cores-1)/2)
	defer fleet.Stop()
	fleet.startAll()
	fleet.Until(4*time.Second, "all memberships are filled", func() bool { return fleet.settled(cores) && fleet.Leader() != nil })
	leader := fleet.Leader()
	target := leader
	var others []string
	for _, c := range fleet.ControlMachines {
		if !cutLeader && c != leader && target == leader {
			target = c
		}
	}
	for _, c := range fleet.ControlMachines {
		if c != target {
			others = append(others, c.Host)
		}
	}
	ctx, cancel := context.WithCancel(fleet.g.Context())
	var pending sync.WaitGroup
	var mu sync.Mutex
	number, sent := uint64(0), seed
	next := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		// Every third change reuses the number of the one before.
		if sent++; sent%3 != 0 {
			number++
		}
		return number
	}
	for i, c := range fleet.ControlMachines {
		pending.Add(1)
		fleet.g.Go("asks", func(context.Context) {
			defer pending.Done()
			fleet.callRandomly(ctx, calls, c, rand.New(rand.NewPCG(seed, uint64(i))), next)
		})
	}
	Wait(2 * time.Second)
	start := time.Now()
	cut(fleet, target, others, true)
	Wait(20*time.Second - time.Since(start))
	cut(fleet, target, others, false)
	Wait(5 * time.Second)
	cancel()
	pending.Wait()
	return target.Host
}
