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

// counts takes numbers through drawn machines until it is told to end: each is
// above every one given before its call was sent, whatever happens meanwhile.
func (l *lab) counts(rnd *rand.Rand) func() int {
	ctx, end := context.WithCancel(context.Background())
	over, top, n := make(chan struct{}), 0.0, 0
	l.g.Go("counts", func(context.Context) {
		defer close(over)
		for ctx.Err() == nil {
			Wait(20 * time.Millisecond)
			all := l.cores()
			c := all[rnd.IntN(len(all))]
			code, got := l.Ask("POST", c.Host+":7003", "/puffin/numbers/storm/next?left_ms=600", `{}`)
			if v, _ := got["number"].(float64); code == 200 {
				n++
				if v <= top {
					l.T.Errorf("number %v after %v", v, top)
				}
				top = max(top, v)
			}
		}
	})
	return func() int { end(); <-over; return n }
}

// storm is one drawn fault of so many core machines, and its end.
func (l *lab) storm(rnd *rand.Rand, hit []*Core) {
	how := rnd.IntN(10)
	long := time.Duration(200+rnd.IntN(2800)) * time.Millisecond
	for _, c := range hit {
		l.say = append(l.say, fmt.Sprintf("%v: %s by way %d for %v", time.Since(l.from).Round(time.Millisecond), c.Host, how, long))
		switch how {
		case 0:
			l.KillCore(c, rnd.IntN(2) == 0)
		case 1:
			l.KillCore(c, true)
			c.Disk.Wipe()
		case 2:
			l.Net.Isolate(c.Host, true)
		case 3:
			l.oneWay(c, true)
		case 4:
			l.Net.Freeze("store-"+c.Host, true)
			l.Net.Freeze("core-"+c.Host, true)
		case 5:
			c.Disk.Slow(time.Duration(20+rnd.IntN(300)) * time.Millisecond)
		case 6:
			c.Store.Stop()
			l.KillCore(c, false)
		case 7:
			c.Disk.Hang("", true)
		case 8:
			c.Disk.Deny(true)
		case 9:
			c.Disk.Room(2000)
		}
	}
	Wait(long)
	for _, c := range hit {
		switch how {
		case 0, 6:
			l.BackCore(c)
		case 1:
			// At the old address, or another machine at a new one.
			if rnd.IntN(2) == 0 {
				l.BackCore(c)
				continue
			}
			fresh := l.fresh(c)
			l.Cores = slices.DeleteFunc(l.cores(), func(o *Core) bool { return o == c })
			l.BackCore(fresh)
		case 2:
			l.Net.Isolate(c.Host, false)
		case 3:
			l.oneWay(c, false)
		case 4:
			l.Net.Freeze("store-"+c.Host, false)
			l.Net.Freeze("core-"+c.Host, false)
		case 5:
			c.Disk.Slow(2 * time.Millisecond)
		case 7:
			c.Disk.Hang("", false)
		case 8:
			c.Disk.Deny(false)
		case 9:
			c.Disk.Room(-1)
		}
	}
}

// TestCoreStorm: faults fall on as many machines as the core is to bear, drawn
// anew each time, with and without stand-bys; each is back or replaced for
// catch_up_ms before the next. Numbers only rise, and what was acknowledged is
// there at the end.
func TestCoreStorm(t *testing.T) {
	heavy(t)
	for _, c := range []struct{ cores, bear int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprintf("%d to bear %d", c.cores, c.bear), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(3) {
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t, seed+660, c.cores, c.bear)
					defer l.Stop()
					defer func() {
						if t.Failed() {
							t.Log(seed, l.say, l.places())
							l.tell(t, 15*time.Second)
						}
					}()
					l.from = time.Now()
					rnd := rand.New(rand.NewPCG(seed, uint64(c.cores)))
					l.up()
					l.Stores["founding"] = false
					Wait(2 * time.Second)
					k := l.marks(20)
					over := l.counts(rand.New(rand.NewPCG(seed, 9)))
					for range 12 {
						hit := slices.Clone(l.Cores)
						rnd.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
						l.storm(rnd, hit[:1+rnd.IntN(c.bear)])
						l.Until(4*time.Second, "all places are taken, all stores ready", func() bool { return l.settled(2*c.bear + 1) })
						Wait(time.Second)
						for key, rev := range l.marks(6) {
							k[key] = max(k[key], rev)
						}
					}
					n := over()
					l.holds(k)
					t.Logf("seed %d: %d numbers, %d changes of the members", seed, n, l.count(event.Replaced))
					if n < 500 {
						t.Errorf("only %d numbers", n)
					}
				})
			}
		})
	}
}
