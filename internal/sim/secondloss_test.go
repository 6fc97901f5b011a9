package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// marking writes keys one after another through the running machines. The returned
// function stops it and returns the acknowledged keys with their revisions.
func (l *lab) marking(name string) (stop func() map[string]uint64) {
	ctx, cancel := context.WithCancel(l.g.Context())
	acked := map[string]uint64{}
	var wait sync.WaitGroup
	wait.Add(1)
	l.g.Go("marking", func(context.Context) {
		defer wait.Done()
		for i := 0; ctx.Err() == nil; i++ {
			machines := l.cores()
			at := machines[i%len(machines)]
			key := fmt.Sprint(name, i)
			// A registry that is killed meanwhile does not answer.
			if rev := l.put(at, key, key); rev > 0 {
				acked[key] = rev
			}
			Wait(3 * time.Millisecond)
		}
	})
	return func() map[string]uint64 {
		cancel()
		wait.Wait()
		return acked
	}
}

// failAndRestart takes one machine down for 300 ms by a kill, a loss of power or a
// loss of power and disk, and starts it again.
func (l *lab) failAndRestart(c *Core, failure string) {
	if s, _ := l.runs(c); s == nil {
		return
	}
	l.KillCore(c, failure != "killed")
	if failure == "wiped" {
		c.Disk.Wipe()
	}
	Wait(300 * time.Millisecond)
	l.BackCore(c)
}

// replacements are the ways in which a membership passes to another machine. The
// field disk says whether the member's disk is lost. Afterwards the machine is either
// gone or running again.
var replacements = []struct {
	name string
	disk bool
	do   func(l *lab, c *Core, later time.Duration)
}{
	{"repaired at its address", true, func(l *lab, c *Core, later time.Duration) {
		l.KillCore(c, true)
		c.Disk.Wipe()
		Wait(later)
		l.BackCore(c)
	}},
	{"replaced after its loss", true, func(l *lab, c *Core, later time.Duration) {
		l.KillCore(c, true)
		Wait(later)
		l.BackCore(l.fresh(c))
	}},
	{"replaced by a plan", false, func(l *lab, c *Core, later time.Duration) {
		l.BackCore(l.fresh(c))
		Wait(2*time.Second + later)
		c.Store.Stop()
		c.Registry.Stop()
		l.KillCore(c, true)
	}},
	{"gone by a plan before its successor comes", true, func(l *lab, c *Core, later time.Duration) {
		c.Store.Stop()
		c.Registry.Stop()
		l.KillCore(c, true)
		Wait(later)
		l.BackCore(l.fresh(c))
	}},
}

// TestSecondLoss: while a membership passes to another
// machine, a second machine is lost at a random moment: by a kill or a loss of power
// where a disk is lost already, otherwise with its disk. The service may be
// interrupted, but recovers, and no acknowledged write is lost.
func TestSecondLoss(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ cores, bear int }{{3, 1}, {5, 2}} {
		for _, replacement := range replacements {
			t.Run(fmt.Sprintf("%d, %s", size.cores, replacement.name), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds(6) {
					synctest.Test(t, func(t *testing.T) {
						random := rand.New(rand.NewPCG(seed, uint64(size.cores)))
						l := newLab(t, seed+900, size.cores, size.bear)
						defer l.Stop()
						l.up()
						l.Until(4*time.Second, "all memberships are filled", func() bool { return len(l.places()) == size.cores })
						l.Stores["founding"] = false
						Wait(time.Second)
						leader := l.Writer()
						departing := l.Cores[slices.IndexFunc(l.Cores, func(c *Core) bool { return (c == leader) == (seed%3 == 0) })]
						others := slices.DeleteFunc(slices.Clone(l.Cores), func(c *Core) bool { return c == departing })
						stop := l.marking("m")
						Wait(200 * time.Millisecond)
						done := make(chan struct{})
						delay := time.Duration(random.IntN(700)) * time.Millisecond
						l.g.Go("departure", func(context.Context) {
							defer close(done)
							replacement.do(l, departing, delay)
						})
						// The second loss comes at any moment of the replacement, most often early.
						Wait(time.Duration(random.Float64() * random.Float64() * float64(3*time.Second)))
						failure := []string{"killed", "power"}[random.IntN(2)]
						if !replacement.disk {
							failure = "wiped"
						}
						l.failAndRestart(others[random.IntN(len(others))], failure)
						<-done
						took := l.next(15 * time.Second)
						Wait(time.Second)
						acked := stop()
						l.holds(acked)
						t.Logf("seed %d: %s, next write after %v, %d writes were acknowledged", seed, failure, took.Round(time.Millisecond), len(acked))
						if len(acked) < 20 {
							t.Errorf("only %d writes were acknowledged", len(acked))
						}
						l.Until(10*time.Second, "all memberships are filled again", func() bool { return len(l.places()) == size.cores && l.allMembersRunning() })
					})
				}
			})
		}
	}
}

// allMembersRunning reports whether the machine of every member runs.
func (l *lab) allMembersRunning() bool {
	missing := l.places()
	for _, c := range l.cores() {
		if c.Store != nil {
			delete(missing, c.Host)
		}
	}
	return len(missing) == 0
}

// TestLeaveWhileOneLags: a member shuts down gracefully under load while another
// member has applied nothing for a while, because its disk hangs. The membership is
// transferred only when a majority of the new voters holds all log entries: right
// afterwards the leader may lose its disk and all machines their power.
func TestLeaveWhileOneLags(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		synctest.Test(t, func(t *testing.T) {
			l := newLab(t, seed+930, 3, 1)
			defer l.Stop()
			l.from = time.Now()
			defer func() {
				if t.Failed() {
					l.tell(t, time.Hour)
				}
			}()
			l.up()
			l.Until(4*time.Second, "all memberships are filled", func() bool { return len(l.places()) == 3 })
			l.Stores["founding"] = false
			leader := l.Writer()
			var others []*Core
			for _, c := range l.Cores {
				if c != leader {
					others = append(others, c)
				}
			}
			lagging, leaving := others[0], others[1]
			replacement := l.fresh(leaving)
			l.BackCore(replacement)
			stop := l.marking("m")
			Wait(2500 * time.Millisecond)
			lagging.Disk.Hang("v-", true)
			Wait(time.Duration(300+100*seed) * time.Millisecond)
			leaving.Store.Stop()
			leaving.Registry.Stop()
			l.KillCore(leaving, true)
			lagging.Disk.Hang("", false)
			l.KillCore(leader, true)
			leader.Disk.Wipe()
			l.KillCore(lagging, true)
			l.KillCore(replacement, true)
			Wait(300 * time.Millisecond)
			for _, c := range []*Core{leader, lagging, replacement} {
				l.BackCore(c)
			}
			l.next(15 * time.Second)
			acked := stop()
			l.holds(acked)
			t.Logf("seed %d: %d writes were acknowledged", seed, len(acked))
		})
	}
}
