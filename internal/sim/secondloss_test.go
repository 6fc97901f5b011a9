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

// writeContinuously writes keys one after another through the running machines. The returned
// function stops it and returns the acknowledged keys with their revisions.
func (l *coreFleet) writeContinuously(name string) (stop func() map[string]uint64) {
	ctx, cancel := context.WithCancel(l.g.Context())
	acked := map[string]uint64{}
	var wait sync.WaitGroup
	wait.Add(1)
	l.g.Go("marking", func(context.Context) {
		defer wait.Done()
		for i := 0; ctx.Err() == nil; i++ {
			machines := l.controlMachines()
			at := machines[i%len(machines)]
			key := fmt.Sprint(name, i)
			// A registry that is killed meanwhile does not answer.
			if rev := l.putKey(at, key, key); rev > 0 {
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
func (l *coreFleet) failAndRestart(c *ControlMachine, failure string) {
	if s, _ := l.controlProcessesOf(c); s == nil {
		return
	}
	l.KillControlMachine(c, failure != "killed")
	if failure == "wiped" {
		c.Disk.Wipe()
	}
	Wait(300 * time.Millisecond)
	l.RestartControlMachine(c)
}

// replacements are the ways in which a membership passes to another machine. The
// field disk says whether the member's disk is lost. Afterwards the machine is either
// gone or running again.
var replacements = []struct {
	name string
	disk bool
	do   func(l *coreFleet, c *ControlMachine, later time.Duration)
}{
	{"repaired at its address", true, func(l *coreFleet, c *ControlMachine, later time.Duration) {
		l.KillControlMachine(c, true)
		c.Disk.Wipe()
		Wait(later)
		l.RestartControlMachine(c)
	}},
	{"replaced after its loss", true, func(l *coreFleet, c *ControlMachine, later time.Duration) {
		l.KillControlMachine(c, true)
		Wait(later)
		l.RestartControlMachine(l.addReplacement(c))
	}},
	{"replaced by a plan", false, func(l *coreFleet, c *ControlMachine, later time.Duration) {
		l.RestartControlMachine(l.addReplacement(c))
		Wait(2*time.Second + later)
		c.Store.Stop()
		c.Registry.Stop()
		l.KillControlMachine(c, true)
	}},
	{"gone by a plan before its successor comes", true, func(l *coreFleet, c *ControlMachine, later time.Duration) {
		c.Store.Stop()
		c.Registry.Stop()
		l.KillControlMachine(c, true)
		Wait(later)
		l.RestartControlMachine(l.addReplacement(c))
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
						l := newCoreFleet(t, seed+900, size.cores, size.bear)
						defer l.Stop()
						l.startAll()
						l.Until(4*time.Second, "all memberships are filled", func() bool { return len(l.members()) == size.cores })
						l.StoreSettings["founding"] = false
						Wait(time.Second)
						leader := l.Leader()
						departing := l.ControlMachines[slices.IndexFunc(l.ControlMachines, func(c *ControlMachine) bool { return (c == leader) == (seed%3 == 0) })]
						others := slices.DeleteFunc(slices.Clone(l.ControlMachines), func(c *ControlMachine) bool { return c == departing })
						stop := l.writeContinuously("m")
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
						took := l.timeToWrite(15 * time.Second)
						Wait(time.Second)
						acked := stop()
						l.checkKeys(acked)
						t.Logf("seed %d: %s, next write after %v, %d writes were acknowledged", seed, failure, took.Round(time.Millisecond), len(acked))
						if len(acked) < 20 {
							t.Errorf("only %d writes were acknowledged", len(acked))
						}
						l.Until(10*time.Second, "all memberships are filled again", func() bool { return len(l.members()) == size.cores && l.allMembersRunning() })
					})
				}
			})
		}
	}
}

// allMembersRunning reports whether the machine of every member runs.
func (l *coreFleet) allMembersRunning() bool {
	missing := l.members()
	for _, c := range l.controlMachines() {
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
			l := newCoreFleet(t, seed+930, 3, 1)
			defer l.Stop()
			l.start = time.Now()
			defer func() {
				if t.Failed() {
					l.logEvents(t, time.Hour)
				}
			}()
			l.startAll()
			l.Until(4*time.Second, "all memberships are filled", func() bool { return len(l.members()) == 3 })
			l.StoreSettings["founding"] = false
			leader := l.Leader()
			var others []*ControlMachine
			for _, c := range l.ControlMachines {
				if c != leader {
					others = append(others, c)
				}
			}
			lagging, leaving := others[0], others[1]
			replacement := l.addReplacement(leaving)
			l.RestartControlMachine(replacement)
			stop := l.writeContinuously("m")
			Wait(2500 * time.Millisecond)
			lagging.Disk.HangSyncs("v-", true)
			Wait(time.Duration(300+100*seed) * time.Millisecond)
			leaving.Store.Stop()
			leaving.Registry.Stop()
			l.KillControlMachine(leaving, true)
			lagging.Disk.HangSyncs("", false)
			l.KillControlMachine(leader, true)
			leader.Disk.Wipe()
			l.KillControlMachine(lagging, true)
			l.KillControlMachine(replacement, true)
			Wait(300 * time.Millisecond)
			for _, c := range []*ControlMachine{leader, lagging, replacement} {
				l.RestartControlMachine(c)
			}
			l.timeToWrite(15 * time.Second)
			acked := stop()
			l.checkKeys(acked)
			t.Logf("seed %d: %d writes were acknowledged", seed, len(acked))
		})
	}
}
