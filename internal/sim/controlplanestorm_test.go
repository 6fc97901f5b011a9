package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// takeNumbers takes numbers from a counter through random machines until the returned
// function is called, which returns how many it got. Each number must be above
// every earlier one, whatever faults occur meanwhile.
func (l *coreFleet) takeNumbers(rnd *rand.Rand) func() int {
	ctx, cancel := context.WithCancel(context.Background())
	finished, highest, taken := make(chan struct{}), 0.0, 0
	l.g.Go("counts", func(context.Context) {
		defer close(finished)
		for ctx.Err() == nil {
			Wait(20 * time.Millisecond)
			cores := l.controlMachines()
			core := cores[rnd.IntN(len(cores))]
			code, answer := l.Request("POST", core.Host+":7003", "/puffin/numbers/storm/next?left_ms=600", `{}`)
			if number, _ := answer["number"].(float64); code == 200 {
				taken++
				if number <= highest {
					l.T.Errorf("got number %v after %v", number, highest)
				}
				highest = max(highest, number)
			}
		}
	})
	return func() int { cancel(); <-finished; return taken }
}

// injectFault injects one random fault into the given machines and ends it again.
func (l *coreFleet) injectFault(rnd *rand.Rand, targets []*ControlMachine) {
	kind := rnd.IntN(10)
	duration := time.Duration(200+rnd.IntN(2800)) * time.Millisecond
	for _, c := range targets {
		l.faults = append(l.faults, fmt.Sprintf("%v: %s has fault kind %d for %v", time.Since(l.start).Round(time.Millisecond), c.Host, kind, duration))
		switch kind {
		case 0:
			l.KillControlMachine(c, rnd.IntN(2) == 0)
		case 1:
			l.KillControlMachine(c, true)
			c.Disk.Wipe()
		case 2:
			l.Net.Isolate(c.Host, true)
		case 3:
			l.cutOutbound(c, true)
		case 4:
			l.Net.PauseProcess("store-"+c.Host, true)
			l.Net.PauseProcess("core-"+c.Host, true)
		case 5:
			c.Disk.SetSyncDelay(time.Duration(20+rnd.IntN(300)) * time.Millisecond)
		case 6:
			c.Store.Stop()
			l.KillControlMachine(c, false)
		case 7:
			c.Disk.HangSyncs("", true)
		case 8:
			c.Disk.FailWrites(true)
		case 9:
			c.Disk.LimitFreeBytes(2000)
		}
	}
	Wait(duration)
	for _, c := range targets {
		switch kind {
		case 0, 6:
			l.RestartControlMachine(c)
		case 1:
			// Either the machine returns empty at its address, or another machine
			// at a new address replaces it.
			if rnd.IntN(2) == 0 {
				l.RestartControlMachine(c)
				continue
			}
			replacement := l.addReplacement(c)
			l.ControlMachines = slices.DeleteFunc(l.controlMachines(), func(other *ControlMachine) bool { return other == c })
			l.RestartControlMachine(replacement)
		case 2:
			l.Net.Isolate(c.Host, false)
		case 3:
			l.cutOutbound(c, false)
		case 4:
			l.Net.PauseProcess("store-"+c.Host, false)
			l.Net.PauseProcess("core-"+c.Host, false)
		case 5:
			c.Disk.SetSyncDelay(2 * time.Millisecond)
		case 7:
			c.Disk.HangSyncs("", false)
		case 8:
			c.Disk.FailWrites(false)
		case 9:
			c.Disk.LimitFreeBytes(-1)
		}
	}
}

// TestCoreStorm injects random faults into up to as many machines as the control
// plane must tolerate, with and without spare machines. Between faults every machine
// is back or replaced for catch_up_ms. Numbers must only rise, and every acknowledged
// write must be readable at the end.
func TestCoreStorm(t *testing.T) {
	skipUnderRace(t)
	for _, c := range []struct{ cores, bear int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprintf("%d to bear %d", c.cores, c.bear), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(3) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newCoreFleet(t, seed+660, c.cores, c.bear)
					defer fleet.Stop()
					defer func() {
						if t.Failed() {
							t.Log(seed, fleet.faults, fleet.members())
							fleet.logEvents(t, 15*time.Second)
						}
					}()
					fleet.start = time.Now()
					rnd := rand.New(rand.NewPCG(seed, uint64(c.cores)))
					fleet.startAll()
					fleet.StoreSettings["founding"] = false
					Wait(2 * time.Second)
					acknowledged := fleet.writeKeys(20)
					stop := fleet.takeNumbers(rand.New(rand.NewPCG(seed, 9)))
					for range 12 {
						targets := slices.Clone(fleet.ControlMachines)
						rnd.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
						fleet.injectFault(rnd, targets[:1+rnd.IntN(c.bear)])
						fleet.Until(4*time.Second, "all memberships are filled and all stores are ready", func() bool { return fleet.settled(2*c.bear + 1) })
						Wait(time.Second)
						for key, rev := range fleet.writeKeys(6) {
							acknowledged[key] = max(acknowledged[key], rev)
						}
					}
					taken := stop()
					fleet.checkKeys(acknowledged)
					t.Logf("seed %d: %d numbers, %d membership changes", seed, taken, fleet.countEvents(event.Replaced))
					if taken < 500 {
						t.Errorf("only %d numbers were given out", taken)
					}
				})
			}
		})
	}
}
