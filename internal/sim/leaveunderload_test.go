package sim

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeaveUnderLoad: a voter leaves gracefully while an up-to-date candidate waits and the
// control plane writes as fast as it can. However many log entries come between two
// reports of the candidate, it becomes a member within 500 ms: until then the control
// plane tolerates one loss less.
func TestLeaveUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := range seeds(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := newCoreFleet(t, seed+640, 3, 1)
				defer l.Stop()
				l.startAll()
				l.Until(4*time.Second, "all voters have joined", func() bool { return len(l.members()) == 3 })
				l.StoreSettings["founding"] = false
				leader := l.Leader()
				leaving := l.ControlMachines[slices.IndexFunc(l.ControlMachines, func(c *ControlMachine) bool { return (c == leader) == (seed%4 == 0) })]
				replacement := l.addReplacement(leaving)
				l.RestartControlMachine(replacement)
				done := make(chan struct{})
				l.g.Go("busy", func(context.Context) {
					defer close(done)
					for i := range 1000 {
						core := l.ControlMachines[i%3]
						l.g.Go("put", func(context.Context) { l.putKey(core, fmt.Sprint("busy", i), "v") })
						Wait(4 * time.Millisecond)
					}
				})
				Wait(2*time.Second + time.Duration(seed)*37*time.Millisecond)
				start := time.Now()
				l.g.Go("leave", func(context.Context) { leaving.Store.Stop() })
				l.Until(3*time.Second, "the candidate is a member", func() bool {
					members := l.members()
					return members[replacement.Host] && !members[leaving.Host]
				})
				took := time.Since(start)
				t.Logf("the candidate is a member after %v", took.Round(time.Millisecond))
				if took > 500*time.Millisecond {
					t.Errorf("the membership of the store that left was vacant for %v", took)
				}
				<-done
				leaving.Registry.Stop()
				l.KillControlMachine(leaving, true)
			})
		})
	}
}
