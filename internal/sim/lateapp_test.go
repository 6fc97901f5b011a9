package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestLateApp: a holder gives its lock back by one node, hears nothing for its
// silence, and takes the same lock by another node, which leaves it the fence.
// Then what held the release up goes away. The lock stays its own.
func TestLateApp(t *testing.T) {
	t.Parallel()
	freeze := func(process string) func(*Fleet, bool) {
		return func(f *Fleet, on bool) { f.Net.Freeze(process, on) }
	}
	for _, c := range []struct {
		name string
		by   func(f *Fleet, off *Core) string // by whom it is given back
		hold func(f *Fleet, off *Core) func(*Fleet, bool)
		long time.Duration // how long the fault lasts
	}{
		{"control node frozen", atCore, func(_ *Fleet, off *Core) func(*Fleet, bool) { return freeze("core-" + off.Host) }, 1050 * time.Millisecond},
		{"control node frozen for long", atCore, func(_ *Fleet, off *Core) func(*Fleet, bool) { return freeze("core-" + off.Host) }, 4 * time.Second},
		{"node frozen", func(f *Fleet, _ *Core) string { return f.Nodes[0].Host + ":7003" },
			func(f *Fleet, _ *Core) func(*Fleet, bool) { return freeze("node-" + f.Nodes[0].Host) }, 1050 * time.Millisecond},
		{"control node cut off from the stores", atCore, func(_ *Fleet, off *Core) func(*Fleet, bool) {
			return func(f *Fleet, on bool) {
				for _, o := range f.Cores {
					if o != off {
						f.Net.Cut(off.Host, o.Host, on)
					}
				}
			}
		}, 1050 * time.Millisecond},
		{"node cut off from the core", func(f *Fleet, _ *Core) string { return f.Nodes[0].Host + ":7003" }, func(*Fleet, *Core) func(*Fleet, bool) {
			return func(f *Fleet, on bool) {
				for _, o := range f.Cores {
					f.Net.Cut(f.Nodes[0].Host, o.Host, on)
				}
			}
		}, 1050 * time.Millisecond},
		{"writer frozen", atCore, func(f *Fleet, _ *Core) func(*Fleet, bool) { return freeze("store-" + f.Writer().Host) }, 1050 * time.Millisecond},
		{"writer frozen for long", atCore, func(f *Fleet, _ *Core) func(*Fleet, bool) { return freeze("store-" + f.Writer().Host) }, 4 * time.Second},
		{"writer's machine cut off", atCore, func(f *Fleet, _ *Core) func(*Fleet, bool) {
			w := f.Writer()
			return func(f *Fleet, on bool) {
				for _, o := range f.Cores {
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
				f := NewFleet(t, small(), 520)
				defer f.Stop()
				f.Start()
				f.Until(5*time.Second, "somebody writes", func() bool { return f.Writer() != nil })
				var off, on *Core
				for _, o := range f.Cores {
					if o != f.Writer() && off == nil {
						off = o
					} else {
						on = o
					}
				}
				at := on.Host + ":7003"
				take := func(who string) int {
					code, _ := f.raw("POST", at, "/puffin/app/locks/l", `{"owner":"`+who+`","ttl_ms":30000}`)
					return code
				}
				if code := take("x"); code != 200 {
					t.Fatal(code)
				}
				hold := c.hold(f, off)
				hold(f, true)
				from := time.Now()
				go f.raw("DELETE", c.by(f, off), "/puffin/app/locks/l", `{"owner":"x","fence":1}`)
				// The client's silence; then it turns elsewhere until it is clear.
				Wait(time.Second)
				over := make(chan bool)
				go func() {
					for take("x") != 200 {
						Wait(50 * time.Millisecond)
					}
					over <- true
				}()
				Wait(c.long - time.Since(from))
				hold(f, false)
				<-over
				fence := f.fence("l")
				Wait(3 * time.Second)
				if code := take("y"); code != 409 {
					t.Errorf("a late release freed the lock for another: %d", code)
				}
				if code, got := f.raw("PUT", at, "/puffin/app/locks/l", fmt.Sprintf(`{"owner":"x","fence":%d,"ttl_ms":30000}`, fence)); code != 200 {
					t.Errorf("the holder can't renew: %d %s", code, got)
				}
			})
		})
	}
}

func atCore(_ *Fleet, off *Core) string { return off.Host + ":7003" }
