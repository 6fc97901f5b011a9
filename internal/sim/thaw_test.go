package sim

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// TestPausedIngress: an ingress is paused while configuration changes are acknowledged,
// and resumes with unread requests of callers and peers. It handles none of them by
// the configuration from before the pause.
func TestPausedIngress(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		s := Fumettoteca(0.3)
		s.Nodes = 6
		f := NewFleet(t, s, 340)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 22*time.Second)
		for i := range 4 {
			n := f.Nodes[i]
			f.Net.PauseProcess("node-"+n.Host, true)
			Wait(200 * time.Millisecond)
			if code, _ := f.Apply(f.Nodes[5].Host+":7003", uint64(i+1), s.Config); code != 200 {
				t.Fatalf("apply answered %d", code)
			}
			Wait(2300 * time.Millisecond)
			f.sendRequests(n, 20)
			f.Net.PauseProcess("node-"+n.Host, false)
			Wait(2 * time.Second)
		}
		wait()
		f.CheckInvariants()
	})
}

// TestPausedControlMachine: the leader's store, registries and whole control plane machines,
// with the judge and the steward, are paused and resumed under load from callers and
// applications. No lock or number is given twice, no read is stale, and the service
// stays available.
func TestPausedControlMachine(t *testing.T) {
	skipUnderRace(t)
	for i, target := range []string{"store", "core", "both", "two registries"} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Fumettoteca(0.15)
				s.Nodes = 6
				f := NewFleet(t, s, uint64(i)+350)
				defer f.Stop()
				f.Start()
				acked := f.recordState()
				wait := f.Load(s.Lines, 36*time.Second)
				apps := f.runCoordination(36 * time.Second)
				for round := range 4 {
					Wait(1500 * time.Millisecond)
					c := f.markFaulted(f.Leader())
					pause := func(on bool) {
						if target != "core" && target != "two registries" {
							f.Net.PauseProcess("store-"+c.Host, on)
						}
						if target != "store" {
							f.Net.PauseProcess("core-"+c.Host, on)
						}
						if target == "two registries" {
							f.Net.PauseProcess("core-"+f.ControlMachines[round%3].Host, on)
						}
					}
					pause(true)
					Wait(time.Duration(300+round*1200) * time.Millisecond)
					if target == "store" || target == "both" {
						f.untilWritable(6 * time.Second)
					}
					pause(false)
					f.untilWritable(6 * time.Second)
				}
				f.Until(10*time.Second, "all stores are ready", f.controlPlaneReady)
				f.Until(10*time.Second, "all nodes are ready and know all workers", f.Converged)
				wait()
				apps()
				f.checkState(acked)
				f.CheckInvariants()
				if n := f.Observer.Counts(); n["done"] < n["calls"]*99/100 {
					t.Errorf("a paused control plane affected requests: %v", n)
				}
			})
		})
	}
}

// TestStaleConfigPushIgnored: a delayed push of an older version changes nothing.
func TestStaleConfigPushIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 360)
		var mu sync.Mutex
		highest := map[string]string{}
		f.Log = func(e event.Entry) {
			mu.Lock()
			defer mu.Unlock()
			// Versions have one digit here, so that texts compare like numbers.
			if e.Number == event.ConfigApplied.Number {
				if e.Text < highest[e.Node] {
					t.Errorf("%s applied %s after %s", e.Node, e.Text, highest[e.Node])
				}
				highest[e.Node] = e.Text
			}
		}
		defer f.Stop()
		f.Start()
		n := f.Nodes[0]
		for v := range 2 {
			if code, _ := f.Apply(n.Host+":7003", uint64(v+1), f.Shape.Config); code != 200 {
				t.Fatalf("apply answered %d", code)
			}
		}
		Wait(time.Second)
		group := task.New(t.Context())
		stale := transport.NewNode(transport.Hello{ClusterID: "puffin", Node: "late", Zone: "north", Role: "registry"}, f.env("late", "10.0.9.5", "north", &n.skew), group, 1<<20, 4, time.Second)
		if _, err := transport.Call[struct{}](t.Context(), stale, n.Host+":7002", "config.push", protocol.ConfigPush{Version: 2, Document: []byte(f.Shape.Config)}); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			if _, status := f.Get(n.Host+":7003", "/puffin/own"); status["config_version"] != 3.0 {
				t.Errorf("the node uses version %v after version 3", status["config_version"])
			}
			Wait(20 * time.Millisecond)
		}
		stale.Close()
		group.Stop()
	})
}

// TestHalfOpen: nodes are cut off in one direction only, or their links
// delay by seconds. The bounds on configuration changes hold for every node that is
// connected, and no request that must not be repeated runs twice.
func TestHalfOpen(t *testing.T) {
	skipUnderRace(t)
	for i, failure := range []string{"nobody hears it", "it hears nobody", "delay of seconds"} {
		t.Run(failure, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Ingenzi(0.3)
				s.Nodes = 6
				f := NewFleet(t, s, uint64(i)+370)
				defer f.Stop()
				f.Start()
				wait := f.Load(s.Lines, 30*time.Second)
				for round := range 3 {
					n := f.Nodes[round]
					from := time.Now()
					disturb := func(on bool) {
						for _, o := range append(f.hosts(), "10.0.9.8") {
							switch {
							case o == n.Host || failure != "delay of seconds" && o == "10.0.9.8":
							case failure == "nobody hears it":
								f.Net.Cut(n.Host, o, on)
							case failure == "it hears nobody":
								f.Net.Cut(o, n.Host, on)
							default:
								f.Net.SetExtraDelay(n.Host, map[bool]time.Duration{true: 1500 * time.Millisecond}[on])
							}
						}
					}
					disturb(true)
					Wait(time.Second)
					if code, _ := f.Apply(f.Nodes[5].Host+":7003", uint64(round+1), s.Config); code != 200 {
						t.Errorf("apply answered %d", code)
					}
					Wait(4 * time.Second)
					disturb(false)
					f.Until(10*time.Second, "all nodes are ready and know all workers", f.Converged)
					Wait(time.Second)
					f.Observer.Disconnected(n.Host+":8000", from, time.Now())
				}
				wait()
				f.CheckInvariants()
				n := f.Observer.Counts()
				t.Log(fmt.Sprint(n))
				if n["done"] < n["calls"]*8/10 {
					t.Errorf("too few requests were completed: %v", n)
				}
			})
		})
	}
}
