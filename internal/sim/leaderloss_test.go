package sim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// leaderLosses lists the ways in which a leader fails at once.
var leaderLosses = []struct {
	name string
	do   func(l *coreFleet, c *ControlMachine)
}{
	{"killed", func(l *coreFleet, c *ControlMachine) { l.KillControlMachine(c, false) }},
	{"dark", func(l *coreFleet, c *ControlMachine) { l.Net.Isolate(c.Host, true); l.KillControlMachine(c, true) }},
	{"frozen", func(l *coreFleet, c *ControlMachine) {
		l.Net.PauseProcess("store-"+c.Host, true)
		l.Net.PauseProcess("core-"+c.Host, true)
		c.Registry = nil
	}},
	{"cut", func(l *coreFleet, c *ControlMachine) { l.Net.Isolate(c.Host, true); c.Registry = nil }},
}

// TestLeaderLost checks that after the leader is killed, loses power, is paused or is
// cut off, a write is acknowledged within three quarters of change_ms with every
// seed.
func TestLeaderLost(t *testing.T) {
	t.Parallel()
	for _, c := range leaderLosses {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var times []time.Duration
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newCoreFleet(t, seed+500, 3, 1)
					defer fleet.Stop()
					fleet.startAll()
					fleet.timeToWrite(10 * time.Second)
					Wait(2*time.Second + time.Duration(rand.Int64N(int64(300*time.Millisecond))))
					leader := fleet.markFaulted(fleet.Leader())
					registry := leader.Registry
					c.do(fleet, leader)
					times = append(times, fleet.timeToWrite(5*time.Second))
					fleet.Net.PauseProcess("store-"+leader.Host, false)
					fleet.Net.PauseProcess("core-"+leader.Host, false)
					if leader.Store != nil {
						leader.Registry = registry
					}
				})
			}
			slices.Sort(times)
			t.Logf("%d seeds: writes resumed after %v at the median, %v at worst", len(times), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
			if times[len(times)-1] > 1500*time.Millisecond {
				t.Errorf("no write was acknowledged for %v", times[len(times)-1])
			}
		})
	}
}
