package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestDelayedReleaseKeepsLock: a client releases its lock through one node, gets no answer within its
// timeout, and acquires the same lock through another node, which leaves the fencing
// token unchanged. Then the fault that delayed the release ends. The lock must stay
// with the client.
func TestDelayedReleaseKeepsLock(t *testing.T) {
	t.Parallel()
	pause := func(process string) func(*Fleet, bool) {
		return func(f *Fleet, on bool) { f.Net.PauseProcess(process, on) }
	}
	for _, c := range []struct {
		name        string
		releaseAddr func(f *Fleet, follower *ControlMachine) string // the address to which the release is sent
		disrupt     func(f *Fleet, follower *ControlMachine) func(*Fleet, bool)
		duration    time.Duration // how long the fault lasts
	}{
		{"control node frozen", viaControlNode, func(_ *Fleet, follower *ControlMachine) func(*Fleet, bool) { return pause("core-" + follower.Host) }, 1050 * time.Millisecond},
		{"control node frozen for long", viaControlNode, func(_ *Fleet, follower *ControlMachine) func(*Fleet, bool) { return pause("core-" + follower.Host) }, 4 * time.Second},
		{"node frozen", func(f *Fleet, _ *ControlMachine) string { return f.Nodes[0].Host + ":7003" },
			func(f *Fleet, _ *ControlMachine) func(*Fleet, bool) { return pause("node-" + f.Nodes[0].Host) }, 1050 * time.Millisecond},
		{"control node cut off from the stores", viaControlNode, func(_ *Fleet, follower *ControlMachine) func(*Fleet, bool) {
			return func(f *Fleet, on bool) {
				for _, o := range f.ControlMachines {
					if o != follower {
						f.Net.Cut(follower.Host, o.Host, on)
					}
				}
			}
		}, 1050 * time.Millisecond},
		{"node cut off from the core", func(f *Fleet, _ *ControlMachine) string { return f.Nodes[0].Host + ":7003" }, func(*Fleet, *ControlMachine) func(*Fleet, bool) {
			return func(f *Fleet, on bool) {
				for _, o := range f.ControlMachines {
					f.Net.Cut(f.Nodes[0].Host, o.Host, on)
				}
			}
		}, 1050 * time.Millisecond},
		{"writer frozen", viaControlNode, func(f *Fleet, _ *ControlMachine) func(*Fleet, bool) { return pause("store-" + f.Leader().Host) }, 1050 * time.Millisecond},
		{"writer frozen for long", viaControlNode, func(f *Fleet, _ *ControlMachine) func(*Fleet, bool) { return pause("store-" + f.Leader().Host) }, 4 * time.Second},
		{"writer's machine cut off", viaControlNode, func(f *Fleet, _ *ControlMachine) func(*Fleet, bool) {
			w := f.Leader()
			return func(f *Fleet, on bool) {
				for _, o := range f.ControlMachines {
					if o != w {
						f.Net.Cut(w.Host, o.Host, on)
						f.Net.Cut(o.Host, w.Host, on)
					}
				}
			}
		}, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(t, smallShape(), 520)
				defer f.Stop()
				f.Start()
				f.Until(5*time.Second, "a store leads", func() bool { return f.Leader() != nil })
				var follower, other *ControlMachine
				for _, o := range f.ControlMachines {
					if o != f.Leader() && follower == nil {
						follower = o
					} else {
						other = o
					}
				}
				addr := other.Host + ":7003"
				acquire := func(owner string) int {
					code, _ := f.requestRaw("POST", addr, "/puffin/app/locks/l", `{"owner":"`+owner+`","ttl_ms":30000}`)
					return code
				}
				if code := acquire("x"); code != 200 {
					t.Fatal(code)
				}
				disrupt := c.disrupt(f, follower)
				disrupt(f, true)
				start := time.Now()
				go f.requestRaw("DELETE", c.releaseAddr(f, follower), "/puffin/app/locks/l", `{"owner":"x","fence":1}`)
				// The client waits for its timeout, then retries elsewhere until the
				// outcome is certain.
				Wait(time.Second)
				done := make(chan bool)
				go func() {
					for acquire("x") != 200 {
						Wait(50 * time.Millisecond)
					}
					done <- true
				}()
				Wait(c.duration - time.Since(start))
				disrupt(f, false)
				<-done
				fence := f.fence("l")
				Wait(3 * time.Second)
				if code := acquire("y"); code != 409 {
					t.Errorf("a late release freed the lock for another: %d", code)
				}
				if code, got := f.requestRaw("PUT", addr, "/puffin/app/locks/l", fmt.Sprintf(`{"owner":"x","fence":%d,"ttl_ms":30000}`, fence)); code != 200 {
					t.Errorf("the holder can't renew: %d %s", code, got)
				}
			})
		})
	}
}

func viaControlNode(_ *Fleet, follower *ControlMachine) string { return follower.Host + ":7003" }
