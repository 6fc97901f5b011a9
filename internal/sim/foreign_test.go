package sim

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// TestForeignData: a store that comes back with the data of a mesh founded
// apart is refused by name, and nothing changes on either side.
func TestForeignData(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		other := NewFleet(t, small(), 130)
		other.Start()
		other.keep()
		other.Stop()
		f := NewFleet(t, small(), 131)
		defer f.Stop()
		var named atomic.Int64
		f.Log = func(e event.Entry) {
			if e.Number == event.ForeignData.Number {
				named.Add(1)
			}
		}
		f.Start()
		k := f.keep()
		c := f.mark(f.Writer())
		f.KillCore(c, true)
		c.Disk, c.Steps = other.Cores[0].Disk, other.Steps
		was, _ := c.Disk.Read("i-identity")
		f.BackCore(c)
		f.serves(5 * time.Second)
		Wait(8 * time.Second)
		if code, got := f.Get(c.Host+":7004", "/puffin/ready"); code != 503 {
			t.Errorf("a store with foreign data is ready: %v", got)
		}
		if now, _ := c.Disk.Read("i-identity"); string(now) != string(was) {
			t.Error("the foreign data was changed")
		}
		if named.Load() == 0 {
			t.Error("no event names it")
		}
		f.still(k)
	})
}

// TestRemoval: an operator's removal that would leave the core without a
// majority is refused and named; a sound one is done, and an empty store has
// the free place later.
func TestRemoval(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 132)
		defer f.Stop()
		var named atomic.Int64
		f.Log = func(e event.Entry) {
			if e.Number == event.UnsafeRemoval.Number {
				named.Add(1)
			}
		}
		f.Start()
		k := f.keep()
		writer := f.Writer()
		var out, off *Core
		for _, c := range f.Cores {
			if c != writer && out == nil {
				out = c
			} else if c != writer {
				off = c
			}
		}
		id := func(c *Core) string {
			_, got := f.Get(c.Host+":7004", "/puffin/ready")
			for _, m := range got["members"].([]any) {
				if one := m.(map[string]any); one["addr"] == c.Host+":7001" {
					return one["id"].(string)
				}
			}
			t.Fatal("not a member")
			return ""
		}
		at := f.Nodes[0].Host + ":7003"
		mine, gone := id(out), id(off)
		f.KillCore(off, false)
		Wait(2 * time.Second)
		if code, got := f.Ask("DELETE", at, "/puffin/stores/"+mine, ""); code != 409 || named.Load() == 0 {
			t.Errorf("a removal that leaves no majority: %d %v, %d events", code, got, named.Load())
		}
		if code, _ := f.Ask("DELETE", at, "/puffin/stores/nobody", ""); code != 404 {
			t.Errorf("no such store: %d", code)
		}
		// The dead one may go.
		if code, got := f.Ask("DELETE", at, "/puffin/stores/"+gone, ""); code != 200 {
			t.Errorf("a sound removal: %d %v", code, got)
		}
		f.serves(5 * time.Second)
		if code, got := f.Ask("DELETE", at, "/puffin/stores/"+mine, ""); code != 409 {
			t.Errorf("a second removal: %d %v", code, got)
		}
		f.still(k)
		// An empty machine takes the free place.
		off.Disk.Wipe()
		f.BackCore(off)
		f.Until(15*time.Second, "three stores are ready", f.coreReady)
		f.serves(5 * time.Second)
	})
}
