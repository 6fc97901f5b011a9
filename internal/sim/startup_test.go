package sim

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestFounding starts three empty stores at once, or one of them a second later. Within
// a second of the last start the registries must be ready and the first configuration
// acknowledged.
func TestFounding(t *testing.T) {
	t.Parallel()
	for i, late := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("late by ", late), func(t *testing.T) {
			t.Parallel()
			var times []time.Duration
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newCoreFleet(t, seed+520, 3, 1)
					defer fleet.Stop()
					for j, c := range fleet.ControlMachines {
						if j == (i+int(seed))%3 && late > 0 {
							continue
						}
						fleet.RestartControlMachine(c)
					}
					if late > 0 {
						Wait(late)
						fleet.RestartControlMachine(fleet.ControlMachines[(i+int(seed))%3])
					}
					start := time.Now()
					fleet.Until(10*time.Second, "all registries are ready", func() bool {
						for _, c := range fleet.ControlMachines {
							if code, _ := fleet.Get(c.Host+":7003", "/puffin/ready"); code != 200 {
								return false
							}
						}
						return true
					})
					if code, _ := fleet.Request("PUT", fleet.ControlMachines[0].Host+":7003", "/puffin/config?based_on=0", fleet.Shape.Config); code != 200 {
						t.Errorf("the first configuration was answered with %d", code)
					}
					times = append(times, time.Since(start))
				})
			}
			slices.Sort(times)
			t.Logf("%d seeds: bootstrapped after %v at the median, %v at worst", len(times), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
			if times[len(times)-1] > time.Second {
				t.Errorf("the control plane took %v to bootstrap", times[len(times)-1])
			}
		})
	}
}

// TestStartAllAtOnce starts the whole mesh at one moment, so that every worker is
// announced before the links between zones are up. All nodes must still know all
// workers within a second of the first configuration.
func TestStartAllAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range seeds(20) {
		synctest.Test(t, func(t *testing.T) {
			fleet := NewFleet(t, smallShape(), seed+900)
			defer fleet.Stop()
			fleet.Start()
			if fleet.convergedAfter > time.Second {
				t.Errorf("seed %d: all nodes knew all workers only after %v", seed, fleet.convergedAfter)
			}
		})
	}
}
