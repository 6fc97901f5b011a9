package sim

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestFounding: three empty stores that start at once, or one of them a second
// later, have a writer and registries that are ready within a second of the
// last one's start, and the first change is acknowledged.
func TestFounding(t *testing.T) {
	t.Parallel()
	for i, late := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("late by ", late), func(t *testing.T) {
			t.Parallel()
			var times []time.Duration
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newLab(t, seed+520, 3, 1)
					defer fleet.Stop()
					for j, c := range fleet.Cores {
						if j == (i+int(seed))%3 && late > 0 {
							continue
						}
						fleet.BackCore(c)
					}
					if late > 0 {
						Wait(late)
						fleet.BackCore(fleet.Cores[(i+int(seed))%3])
					}
					start := time.Now()
					fleet.Until(10*time.Second, "all registries are ready", func() bool {
						for _, c := range fleet.Cores {
							if code, _ := fleet.Get(c.Host+":7003", "/puffin/ready"); code != 200 {
								return false
							}
						}
						return true
					})
					if code, _ := fleet.Ask("PUT", fleet.Cores[0].Host+":7003", "/puffin/config?based_on=0", fleet.S.Doc); code != 200 {
						t.Errorf("the first change answered %d", code)
					}
					times = append(times, time.Since(start))
				})
			}
			slices.Sort(times)
			t.Logf("%d seeds: median %v, worst %v", len(times), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
			if times[len(times)-1] > time.Second {
				t.Errorf("not before %v", times[len(times)-1])
			}
		})
	}
}

// TestStartAllAtOnce: the whole mesh starts at one moment, so that every worker is
// told of before the links between areas stand. All nodes know all workers
// within a second of the first configuration nevertheless.
func TestStartAllAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range seeds(20) {
		synctest.Test(t, func(t *testing.T) {
			fleet := NewFleet(t, small(), seed+900)
			defer fleet.Stop()
			fleet.Start()
			if fleet.knew > time.Second {
				t.Errorf("seed %d: all know all workers only after %v", seed, fleet.knew)
			}
		})
	}
}
