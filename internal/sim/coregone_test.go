package sim

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// stopControlPlane stops all control-plane machines at once, by a power loss or by killing
// their processes. If wiped is set, as many disks are lost as the control plane tolerates,
// the leader's among them.
func (f *Fleet) stopControlPlane(powerLost, wiped bool) {
	leader := f.markFaulted(f.Leader())
	lost := []*ControlMachine{leader}
	for _, c := range f.ControlMachines {
		if c != leader && len(lost) < len(f.ControlMachines)/2 {
			lost = append(lost, c)
		}
	}
	for _, c := range f.ControlMachines {
		if powerLost {
			f.Net.Isolate(c.Host, true)
		}
		f.KillControlMachine(c, powerLost)
	}
	for _, c := range lost {
		if wiped {
			c.Disk.Wipe()
		}
	}
}

// restartControlPlane restarts all machines and returns the time until a store is the
// leader.
func (f *Fleet) restartControlPlane() time.Duration {
	for _, c := range f.ControlMachines {
		f.Net.Isolate(c.Host, false)
		f.RestartControlMachine(c)
	}
	start := time.Now()
	for f.Leader() == nil && time.Since(start) < 15*time.Second {
		Wait(5 * time.Millisecond)
	}
	return time.Since(start)
}

// slowest returns the longest call of each service that began within a time span, the
// number of calls, and how many were not answered with 200.
func (f *Fleet) slowest(from, to time.Time) (longest map[string]time.Duration, all, failed int) {
	longest = map[string]time.Duration{}
	for _, c := range f.Observer.Calls() {
		if c.From.Before(from) || c.From.After(to) {
			continue
		}
		all++
		if c.Status != 200 {
			failed++
		}
		longest[c.Service] = max(longest[c.Service], c.To.Sub(c.From))
	}
	return longest, all, failed
}

// TestWholeControlPlaneLost stops the whole control plane at once, right after it acknowledged a change,
// and restarts it, with or without the loss of the leader's disk, while all proxies keep
// running. Requests are not affected, a leader is elected shortly after the restart, all
// nodes read back what was acknowledged, and no proxy restarts.
func TestWholeControlPlaneLost(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		name             string
		powerLost, wiped bool
		downtime         time.Duration
		machines         int
	}{
		{"killed for a moment", false, false, 400 * time.Millisecond, 3},
		{"killed, the writer's disk lost", false, true, 800 * time.Millisecond, 3},
		{"without power, the writer's disk lost", true, true, 1300 * time.Millisecond, 3},
		{"without power for long", true, false, 6 * time.Second, 3},
		{"five without power, two disks lost", true, true, 1300 * time.Millisecond, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(3) {
				synctest.Test(t, func(t *testing.T) {
					shape := Fumettoteca(0.2)
					shape.Nodes = 6
					f := NewFleet(t, shape, 740+seed*10+uint64(i))
					f.Settings = tightBounds
					for i := len(f.ControlMachines); i < c.machines; i++ {
						f.ControlMachines = append(f.ControlMachines, &ControlMachine{Host: fmt.Sprint("10.0.0.", 50+i), Zone: Zones[i%3], Disk: NewDisk()})
						f.StoreSettings = map[string]any{"bear": json.Number(fmt.Sprint(c.machines / 2))}
					}
					defer f.Stop()
					f.Start()
					expected := f.recordState()
					waitForLoad := f.Load(shape.Lines, 6*time.Second+c.downtime)
					Wait(3 * time.Second)
					code, version := f.Apply(f.ControlMachines[1].Host+":7003", 1, shape.Config)
					if code != 200 {
						t.Fatalf("the change was answered %d", code)
					}
					expected.version = float64(version)
					before, _, _ := f.slowest(time.Now().Add(-2*time.Second), time.Now())
					if f.StoreSettings == nil {
						f.StoreSettings = map[string]any{}
					}
					f.StoreSettings["founding"] = false
					lostAt := time.Now()
					f.stopControlPlane(c.powerLost, c.wiped)
					Wait(c.downtime)
					elapsed := f.restartControlPlane()
					backAt := time.Now()
					f.Until(5*time.Second, "all proxies are ready and know all workers again", f.Converged)
					t.Logf("seed %d: a leader %v after the restart, all proxies ready %v later", seed, elapsed.Round(time.Millisecond), time.Since(backAt).Round(time.Millisecond))
					if elapsed > 400*time.Millisecond {
						t.Errorf("no leader for %v after the restart", elapsed)
					}
					f.checkState(expected)
					waitForLoad()
					during, all, failed := f.slowest(lostAt, backAt)
					t.Logf("%d requests during the outage, %d without 200; slowest %v, before %v", all, failed, during, before)
					for service, d := range during {
						if d > before[service]+60*time.Millisecond {
							t.Errorf("a request to %s took %v during the outage, %v before", service, d, before[service])
						}
					}
					if failed > 0 {
						t.Errorf("%d requests failed", failed)
					}
					for _, n := range f.Nodes {
						if n.starts > 1 {
							t.Errorf("the worker at %s was restarted", n.Host)
						}
						_, got := f.Get(n.Host+":7003", "/puffin/ready")
						if got["config_version"] != expected.version {
							t.Errorf("%s has version %v, but %v was acknowledged", n.Host, got, expected.version)
						}
					}
					f.CheckInvariants()
				})
			}
		})
	}
}
