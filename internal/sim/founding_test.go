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
			var all []time.Duration
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t, seed+520, 3, 1)
					defer l.Stop()
					for j, c := range l.Cores {
						if j == (i+int(seed))%3 && late > 0 {
							continue
						}
						l.BackCore(c)
					}
					if late > 0 {
						Wait(late)
						l.BackCore(l.Cores[(i+int(seed))%3])
					}
					from := time.Now()
					l.Until(10*time.Second, "all registries are ready", func() bool {
						for _, c := range l.Cores {
							if code, _ := l.Get(c.Host+":7003", "/puffin/ready"); code != 200 {
								return false
							}
						}
						return true
					})
					if code, _ := l.Ask("PUT", l.Cores[0].Host+":7003", "/puffin/config?based_on=0", l.S.Doc); code != 200 {
						t.Errorf("the first change answered %d", code)
					}
					all = append(all, time.Since(from))
				})
			}
			slices.Sort(all)
			t.Logf("%d seeds: median %v, worst %v", len(all), all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond))
			if all[len(all)-1] > time.Second {
				t.Errorf("not before %v", all[len(all)-1])
			}
		})
	}
}

// TestAllAtOnce: the whole mesh starts at one moment, so that every worker is
// told of before the links between areas stand. All nodes know all workers
// within a second of the first configuration nevertheless.
func TestAllAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range seeds(20) {
		synctest.Test(t, func(t *testing.T) {
			f := NewFleet(t, small(), seed+900)
			defer f.Stop()
			f.Start()
			if f.knew > time.Second {
				t.Errorf("seed %d: all know all workers only after %v", seed, f.knew)
			}
		})
	}
}
