package sim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// smallShape returns a shape for faults of the control plane, with few nodes.
func smallShape() Shape {
	s := Fumettoteca(0.1)
	s.Nodes = 3
	return s
}

// runCoordination runs coordination callers in the background. The returned function waits for their
// end.
func (f *Fleet) runCoordination(duration time.Duration) func() *standin.CoordinationCallers {
	_, wait := f.startCoordination(duration)
	return wait
}

// startCoordination does the same and also returns the callers while they run.
func (f *Fleet) startCoordination(duration time.Duration) (*standin.CoordinationCallers, func() *standin.CoordinationCallers) {
	f.Net.SetZone("10.0.9.7", "outside")
	var addresses []string
	for _, c := range f.ControlMachines {
		addresses = append(addresses, c.Host+":7003")
	}
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Host+":7003")
	}
	c := standin.NewCoordinationCallers(f.env("apps", "10.0.9.7", "outside", new(atomic.Int64)), addresses, f.Observer)
	if f.PollReadiness {
		c.Skip = f.poll()
	}
	done := make(chan struct{})
	f.g.Go("apps", func(context.Context) {
		c.Run(10, 60, duration)
		close(done)
	})
	return c, func() *standin.CoordinationCallers { <-done; return c }
}

// untilWritable waits until a write succeeds through a proxy, and returns how long that took.
func (f *Fleet) untilWritable(bound time.Duration) time.Duration {
	return f.Until(bound, "a write succeeds", func() bool {
		code, _ := f.Request("PUT", f.Nodes[0].Host+":7003", "/puffin/keys/probe", `{"value":"x"}`)
		return code == 200
	})
}

// acknowledgedState is the state acknowledged before a fault, which must survive it.
type acknowledgedState struct {
	rev, number, fence uint64
	version            float64
}

func (f *Fleet) recordState() acknowledgedState {
	_, keyAnswer := f.Request("PUT", f.ControlMachines[1].Host+":7003", "/puffin/keys/kept", `{"value":"v"}`)
	_, numberAnswer := f.Request("POST", f.Nodes[0].Host+":7003", "/puffin/numbers/kept/next", `{}`)
	_, lockAnswer := f.Request("POST", f.Nodes[1].Host+":7003", "/puffin/locks/kept/acquire", `{"owner":"me","ttl_ms":600000}`)
	_, configAnswer := f.Get(f.Nodes[0].Host+":7003", "/puffin/config")
	rev, _ := keyAnswer["rev"].(float64)
	number, _ := numberAnswer["number"].(float64)
	fence, _ := lockAnswer["fence"].(float64)
	version, _ := configAnswer["version"].(float64)
	if rev == 0 || number == 0 || fence == 0 || version == 0 {
		f.T.Fatalf("not everything was acknowledged: %v %v %v %v", keyAnswer, numberAnswer, lockAnswer, configAnswer)
	}
	return acknowledgedState{uint64(rev), uint64(number), uint64(fence), version}
}

func (f *Fleet) checkState(expected acknowledgedState) {
	f.T.Helper()
	address := f.Nodes[2].Host + ":7003"
	_, keyAnswer := f.Get(address, "/puffin/keys/kept")
	_, numberAnswer := f.Request("POST", address, "/puffin/numbers/kept/next", `{}`)
	code, lockAnswer := f.Request("POST", address, "/puffin/locks/kept/acquire", `{"owner":"other"}`)
	_, configAnswer := f.Get(address, "/puffin/config")
	number, _ := numberAnswer["number"].(float64)
	if keyAnswer["value"] != "v" || keyAnswer["rev"] != float64(expected.rev) || uint64(number) <= expected.number || code != 409 || lockAnswer["fence"] != float64(expected.fence) || configAnswer["version"] != expected.version {
		f.T.Errorf("acknowledged state was lost: %v %v %d %v %v, want %+v", keyAnswer, numberAnswer, code, lockAnswer, configAnswer["version"], expected)
	}
	f.Request("POST", address, "/puffin/locks/kept/release", `{"owner":"me"}`)
}

// controlPlaneFault is one fault of the control plane and its repair.
type controlPlaneFault struct {
	name     string
	do       func(f *Fleet)
	undo     func(f *Fleet)
	duration time.Duration // how long the fault lasts
	recovery time.Duration // bound on the time until writes succeed during the fault; 0 if they need not
}

var controlPlaneFaults = []controlPlaneFault{
	{"writer killed and its power lost", func(f *Fleet) { f.KillControlMachine(f.markFaulted(f.Leader()), true) }, func(f *Fleet) { f.RestartControlMachine(f.faulted) }, 5 * time.Second, 5 * time.Second},
	{"writer isolated", func(f *Fleet) { f.Net.Isolate(f.markFaulted(f.Leader()).Host, true) }, func(f *Fleet) { f.Net.Isolate(f.faulted.Host, false) }, 6 * time.Second, 6 * time.Second},
	{"writer cut one way: it hears, but nobody hears it", func(f *Fleet) { f.cutOutbound(f.markFaulted(f.Leader()), true) }, func(f *Fleet) { f.cutOutbound(f.faulted, false) }, 6 * time.Second, 6 * time.Second},
	{"one disk wiped", func(f *Fleet) { c := f.markFaulted(f.Leader()); f.KillControlMachine(c, true); c.Disk.Wipe() }, func(f *Fleet) { f.RestartControlMachine(f.faulted) }, 3 * time.Second, 5 * time.Second},
	{"all three killed and their power lost", func(f *Fleet) {
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
	}, func(f *Fleet) {
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
	}, 4 * time.Second, 0},
	{"writer's disk slow", func(f *Fleet) { f.markFaulted(f.Leader()).Disk.SetSyncDelay(700 * time.Millisecond) }, func(f *Fleet) { f.faulted.Disk.SetSyncDelay(0) }, 8 * time.Second, 6 * time.Second},
	{"writer's disk full", func(f *Fleet) { f.markFaulted(f.Leader()).Disk.LimitFreeBytes(10) }, func(f *Fleet) { f.faulted.Disk.LimitFreeBytes(-1) }, 6 * time.Second, 6 * time.Second},
	{"a stored version damaged", func(f *Fleet) {
		c := f.markFaulted(f.Leader())
		f.KillControlMachine(c, true)
		names, _ := c.Disk.List()
		for _, n := range names {
			if n[0] == 'v' {
				c.Disk.Corrupt(n, false)
			}
		}
	}, func(f *Fleet) { f.RestartControlMachine(f.faulted) }, 3 * time.Second, 5 * time.Second},
	{"rolled one by one", func(f *Fleet) {
		for _, c := range f.ControlMachines {
			c.Registry.Stop()
			c.Store.Stop()
			f.RestartControlMachine(c)
			Wait(time.Second)
		}
	}, func(*Fleet) {}, time.Second, 5 * time.Second},
}

func (f *Fleet) markFaulted(c *ControlMachine) *ControlMachine {
	if c == nil {
		f.T.Fatal("no store is the leader")
	}
	f.faulted = c
	return c
}

func (f *Fleet) cutOutbound(c *ControlMachine, on bool) {
	for _, other := range f.ControlMachines {
		if other != c {
			f.Net.Cut(c.Host, other.Host, on)
		}
	}
	for _, n := range f.Nodes {
		f.Net.Cut(c.Host, n.Host, on)
	}
}

// TestCoreFaults causes each fault of the control plane during coordination calls: no
// acknowledged state is lost, no number or lock is granted twice, and writes succeed again
// within the bound.
func TestCoreFaults(t *testing.T) {
	t.Parallel()
	for i, fault := range controlPlaneFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(t, smallShape(), uint64(i)+10)
				defer f.Stop()
				f.Start()
				expected := f.recordState()
				waitForApps := f.runCoordination(fault.duration + 14*time.Second)
				Wait(2 * time.Second)
				fault.do(f)
				if fault.recovery > 0 {
					t.Logf("writes succeed %v after the fault", f.untilWritable(fault.recovery).Round(time.Millisecond))
				}
				Wait(fault.duration)
				fault.undo(f)
				t.Logf("writes succeed %v after the machines came back", f.untilWritable(15*time.Second).Round(time.Millisecond))
				f.Until(15*time.Second, "all three stores are ready", f.controlPlaneReady)
				coord := waitForApps()
				f.checkState(expected)
				f.CheckInvariants()
				if coord.Outcomes["locks 200"] < 50 || coord.Outcomes["keys 200"] < 50 || coord.Outcomes["watch?prefix=k 200"] < 5 {
					t.Errorf("too few calls succeeded: %v", coord.Outcomes)
				}
			})
		})
	}
}

func (f *Fleet) controlPlaneReady() bool {
	for _, c := range f.ControlMachines {
		if c.Store == nil {
			continue
		}
		if code, _ := f.Get(c.Host+":7004", "/puffin/ready"); code != 200 {
			return false
		}
	}
	return true
}

// TestNewMachine replaces a control-plane machine that is lost for good with an empty one
// at a new address. Proxies configured with the old seeds find it. Then another machine is
// lost, and writes still succeed.
func TestNewMachine(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 30)
		defer f.Stop()
		var replaced atomic.Int64
		f.Log = func(entry event.Entry) {
			if entry.Number == event.Replaced.Number {
				replaced.Add(1)
			}
		}
		f.Start()
		expected := f.recordState()
		waitForApps := f.runCoordination(45 * time.Second)
		lost := f.markFaulted(f.Leader())
		f.KillControlMachine(lost, false)
		fresh := &ControlMachine{Host: "10.0.0.44", Zone: lost.Zone, Disk: NewDisk()}
		f.ControlMachines = append(f.ControlMachines, fresh)
		f.RestartControlMachine(fresh)
		elapsed := f.Until(25*time.Second, "the new store is a ready member", func() bool {
			code, got := f.Get(fresh.Host+":7004", "/puffin/ready")
			return code == 200 && replaced.Load() == 1 && fmt.Sprint(got["role"]) != "empty"
		})
		t.Logf("a member %v after its start", elapsed.Round(time.Millisecond))
		f.untilWritable(5 * time.Second)
		for _, c := range f.ControlMachines {
			if c != lost && c != fresh {
				f.KillControlMachine(c, true)
				break
			}
		}
		t.Logf("writes succeed %v after the second fault", f.untilWritable(10*time.Second).Round(time.Millisecond))
		f.checkState(expected)
		waitForApps()
		f.CheckInvariants()
	})
}
