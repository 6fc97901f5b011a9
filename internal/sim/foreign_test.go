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
		fleet := NewFleet(t, small(), 131)
		defer fleet.Stop()
		var reported atomic.Int64
		fleet.Log = func(entry event.Entry) {
			if entry.Number == event.ForeignData.Number {
				reported.Add(1)
			}
		}
		fleet.Start()
		before := fleet.keep()
		core := fleet.mark(fleet.Writer())
		fleet.KillCore(core, true)
		core.Disk, core.Steps = other.Cores[0].Disk, other.Steps
		identityBefore, _ := core.Disk.Read("i-identity")
		fleet.BackCore(core)
		fleet.serves(5 * time.Second)
		Wait(8 * time.Second)
		if code, answer := fleet.Get(core.Host+":7004", "/puffin/ready"); code != 503 {
			t.Errorf("a store with foreign data is ready: %v", answer)
		}
		if identityAfter, _ := core.Disk.Read("i-identity"); string(identityAfter) != string(identityBefore) {
			t.Error("the foreign data was changed")
		}
		if reported.Load() == 0 {
			t.Error("no event names it")
		}
		fleet.still(before)
	})
}

// TestRemoval: an operator's removal that would leave the core without a
// majority is refused and named; a sound one is done, and an empty store has
// the free place later.
func TestRemoval(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := NewFleet(t, small(), 132)
		defer fleet.Stop()
		var reported atomic.Int64
		fleet.Log = func(entry event.Entry) {
			if entry.Number == event.UnsafeRemoval.Number {
				reported.Add(1)
			}
		}
		fleet.Start()
		before := fleet.keep()
		leader := fleet.Writer()
		var running, dead *Core
		for _, c := range fleet.Cores {
			if c != leader && running == nil {
				running = c
			} else if c != leader {
				dead = c
			}
		}
		memberID := func(c *Core) string {
			_, answer := fleet.Get(c.Host+":7004", "/puffin/ready")
			for _, m := range answer["members"].([]any) {
				if member := m.(map[string]any); member["addr"] == c.Host+":7001" {
					return member["id"].(string)
				}
			}
			t.Fatal("not a member")
			return ""
		}
		address := fleet.Nodes[0].Host + ":7003"
		runningID, deadID := memberID(running), memberID(dead)
		fleet.KillCore(dead, false)
		Wait(2 * time.Second)
		if code, answer := fleet.Ask("DELETE", address, "/puffin/stores/"+runningID, ""); code != 409 || reported.Load() == 0 {
			t.Errorf("a removal that leaves no majority: %d %v, %d events", code, answer, reported.Load())
		}
		if code, _ := fleet.Ask("DELETE", address, "/puffin/stores/nobody", ""); code != 404 {
			t.Errorf("no such store: %d", code)
		}
		// The dead one may go.
		if code, answer := fleet.Ask("DELETE", address, "/puffin/stores/"+deadID, ""); code != 200 {
			t.Errorf("a sound removal: %d %v", code, answer)
		}
		fleet.serves(5 * time.Second)
		if code, answer := fleet.Ask("DELETE", address, "/puffin/stores/"+runningID, ""); code != 409 {
			t.Errorf("a second removal: %d %v", code, answer)
		}
		fleet.still(before)
		// An empty machine takes the free place.
		dead.Disk.Wipe()
		fleet.BackCore(dead)
		fleet.Until(15*time.Second, "three stores are ready", fleet.coreReady)
		fleet.serves(5 * time.Second)
	})
}
