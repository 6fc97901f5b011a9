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

// small returns a shape for faults of the control plane, with few nodes.
func small() Shape {
	s := Fumettoteca(0.1)
	s.Nodes = 3
	return s
}

// apps runs coordination callers in the background. The returned function waits for their
// end.
func (f *Fleet) apps(duration time.Duration) func() *standin.Coord {
	_, wait := f.appsNow(duration)
	return wait
}

// appsNow does the same and also returns the callers while they run.
func (f *Fleet) appsNow(duration time.Duration) (*standin.Coord, func() *standin.Coord) {
	f.Net.Place("10.0.9.7", "outside")
	var addresses []string
	for _, c := range f.Cores {
		addresses = append(addresses, c.Host+":7003")
	}
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Host+":7003")
	}
	c := standin.NewCoord(f.env("apps", "10.0.9.7", "outside", new(atomic.Int64)), addresses, f.Obs)
	if f.Polled {
		c.Skip = f.poll()
	}
	done := make(chan struct{})
	f.g.Go("apps", func(context.Context) {
		c.Run(10, 60, duration)
		close(done)
	})
	return c, func() *standin.Coord { <-done; return c }
}

// serves waits until a write succeeds through a proxy, and returns how long that took.
func (f *Fleet) serves(bound time.Duration) time.Duration {
	return f.Until(bound, "a write succeeds", func() bool {
		code, _ := f.Ask("PUT", f.Nodes[0].Host+":7003", "/puffin/keys/probe", `{"value":"x"}`)
		return code == 200
	})
}

// kept is the state acknowledged before a fault, which must survive it.
type kept struct {
	rev, num, fence uint64
	version         float64
}

func (f *Fleet) keep() kept {
	_, keyAnswer := f.Ask("PUT", f.Cores[1].Host+":7003", "/puffin/keys/kept", `{"value":"v"}`)
	_, numberAnswer := f.Ask("POST", f.Nodes[0].Host+":7003", "/puffin/numbers/kept/next", `{}`)
	_, lockAnswer := f.Ask("POST", f.Nodes[1].Host+":7003", "/puffin/locks/kept/acquire", `{"owner":"me","ttl_ms":600000}`)
	_, configAnswer := f.Get(f.Nodes[0].Host+":7003", "/puffin/config")
	rev, _ := keyAnswer["rev"].(float64)
	number, _ := numberAnswer["number"].(float64)
	fence, _ := lockAnswer["fence"].(float64)
	version, _ := configAnswer["version"].(float64)
	if rev == 0 || number == 0 || fence == 0 || version == 0 {
		f.T.Fatalf("not everything was acknowledged: %v %v %v %v", keyAnswer, numberAnswer, lockAnswer, configAnswer)
	}
	return kept{uint64(rev), uint64(number), uint64(fence), version}
}

func (f *Fleet) still(expected kept) {
	f.T.Helper()
	address := f.Nodes[2].Host + ":7003"
	_, keyAnswer := f.Get(address, "/puffin/keys/kept")
	_, numberAnswer := f.Ask("POST", address, "/puffin/numbers/kept/next", `{}`)
	code, lockAnswer := f.Ask("POST", address, "/puffin/locks/kept/acquire", `{"owner":"other"}`)
	_, configAnswer := f.Get(address, "/puffin/config")
	number, _ := numberAnswer["number"].(float64)
	if keyAnswer["value"] != "v" || keyAnswer["rev"] != float64(expected.rev) || uint64(number) <= expected.num || code != 409 || lockAnswer["fence"] != float64(expected.fence) || configAnswer["version"] != expected.version {
		f.T.Errorf("acknowledged state was lost: %v %v %d %v %v, want %+v", keyAnswer, numberAnswer, code, lockAnswer, configAnswer["version"], expected)
	}
	f.Ask("POST", address, "/puffin/locks/kept/release", `{"owner":"me"}`)
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
	{"writer killed and its power lost", func(f *Fleet) { f.KillCore(f.mark(f.Writer()), true) }, func(f *Fleet) { f.BackCore(f.marked) }, 5 * time.Second, 5 * time.Second},
	{"writer isolated", func(f *Fleet) { f.Net.Isolate(f.mark(f.Writer()).Host, true) }, func(f *Fleet) { f.Net.Isolate(f.marked.Host, false) }, 6 * time.Second, 6 * time.Second},
	{"writer cut one way: it hears, but nobody hears it", func(f *Fleet) { f.oneWay(f.mark(f.Writer()), true) }, func(f *Fleet) { f.oneWay(f.marked, false) }, 6 * time.Second, 6 * time.Second},
	{"one disk wiped", func(f *Fleet) { c := f.mark(f.Writer()); f.KillCore(c, true); c.Disk.Wipe() }, func(f *Fleet) { f.BackCore(f.marked) }, 3 * time.Second, 5 * time.Second},
	{"all three killed and their power lost", func(f *Fleet) {
		for _, c := range f.Cores {
			f.KillCore(c, true)
		}
	}, func(f *Fleet) {
		for _, c := range f.Cores {
			f.BackCore(c)
		}
	}, 4 * time.Second, 0},
	{"writer's disk slow", func(f *Fleet) { f.mark(f.Writer()).Disk.Slow(700 * time.Millisecond) }, func(f *Fleet) { f.marked.Disk.Slow(0) }, 8 * time.Second, 6 * time.Second},
	{"writer's disk full", func(f *Fleet) { f.mark(f.Writer()).Disk.Room(10) }, func(f *Fleet) { f.marked.Disk.Room(-1) }, 6 * time.Second, 6 * time.Second},
	{"a stored version damaged", func(f *Fleet) {
		c := f.mark(f.Writer())
		f.KillCore(c, true)
		names, _ := c.Disk.List()
		for _, n := range names {
			if n[0] == 'v' {
				c.Disk.Harm(n, false)
			}
		}
	}, func(f *Fleet) { f.BackCore(f.marked) }, 3 * time.Second, 5 * time.Second},
	{"rolled one by one", func(f *Fleet) {
		for _, c := range f.Cores {
			c.Registry.Stop()
			c.Store.Stop()
			f.BackCore(c)
			Wait(time.Second)
		}
	}, func(*Fleet) {}, time.Second, 5 * time.Second},
}

func (f *Fleet) mark(c *Core) *Core {
	if c == nil {
		f.T.Fatal("no store is the leader")
	}
	f.marked = c
	return c
}

func (f *Fleet) oneWay(c *Core, on bool) {
	for _, other := range f.Cores {
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
				f := NewFleet(t, small(), uint64(i)+10)
				defer f.Stop()
				f.Start()
				expected := f.keep()
				waitForApps := f.apps(fault.duration + 14*time.Second)
				Wait(2 * time.Second)
				fault.do(f)
				if fault.recovery > 0 {
					t.Logf("writes succeed %v after the fault", f.serves(fault.recovery).Round(time.Millisecond))
				}
				Wait(fault.duration)
				fault.undo(f)
				t.Logf("writes succeed %v after the machines came back", f.serves(15*time.Second).Round(time.Millisecond))
				f.Until(15*time.Second, "all three stores are ready", f.coreReady)
				coord := waitForApps()
				f.still(expected)
				f.Judge()
				if coord.Done["locks 200"] < 50 || coord.Done["keys 200"] < 50 || coord.Done["watch?prefix=k 200"] < 5 {
					t.Errorf("too few calls succeeded: %v", coord.Done)
				}
			})
		})
	}
}

func (f *Fleet) coreReady() bool {
	for _, c := range f.Cores {
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
		f := NewFleet(t, small(), 30)
		defer f.Stop()
		var replaced atomic.Int64
		f.Log = func(entry event.Entry) {
			if entry.Number == event.Replaced.Number {
				replaced.Add(1)
			}
		}
		f.Start()
		expected := f.keep()
		waitForApps := f.apps(45 * time.Second)
		lost := f.mark(f.Writer())
		f.KillCore(lost, false)
		fresh := &Core{Host: "10.0.0.44", Area: lost.Area, Disk: NewDisk()}
		f.Cores = append(f.Cores, fresh)
		f.BackCore(fresh)
		elapsed := f.Until(25*time.Second, "the new store is a ready member", func() bool {
			code, got := f.Get(fresh.Host+":7004", "/puffin/ready")
			return code == 200 && replaced.Load() == 1 && fmt.Sprint(got["role"]) != "empty"
		})
		t.Logf("a member %v after its start", elapsed.Round(time.Millisecond))
		f.serves(5 * time.Second)
		for _, c := range f.Cores {
			if c != lost && c != fresh {
				f.KillCore(c, true)
				break
			}
		}
		t.Logf("writes succeed %v after the second fault", f.serves(10*time.Second).Round(time.Millisecond))
		f.still(expected)
		waitForApps()
		f.Judge()
	})
}
