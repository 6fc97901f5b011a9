package sim

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// TestForeignData starts a store with the data of another cluster. It must be refused
// with an event that names it, and neither its data nor the cluster may change.
func TestForeignData(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		other := NewFleet(t, smallShape(), 130)
		other.Start()
		other.recordState()
		other.Stop()
		fleet := NewFleet(t, smallShape(), 131)
		defer fleet.Stop()
		var reported atomic.Int64
		fleet.Log = func(entry event.Entry) {
			if entry.Number == event.ForeignData.Number {
				reported.Add(1)
			}
		}
		fleet.Start()
		before := fleet.recordState()
		core := fleet.markFaulted(fleet.Leader())
		fleet.KillControlMachine(core, true)
		core.Disk, core.Steps = other.ControlMachines[0].Disk, other.Steps
		identityBefore, _ := core.Disk.Read("i-identity")
		fleet.RestartControlMachine(core)
		fleet.untilWritable(5 * time.Second)
		Wait(8 * time.Second)
		if code, answer := fleet.Get(core.Host+":7004", "/puffin/ready"); code != 503 {
			t.Errorf("the store with foreign data is ready: %v", answer)
		}
		if identityAfter, _ := core.Disk.Read("i-identity"); string(identityAfter) != string(identityBefore) {
			t.Error("the foreign data was changed")
		}
		if reported.Load() == 0 {
			t.Error("no event reports the foreign data")
		}
		fleet.checkState(before)
	})
}

// TestRemoval checks that removing a store is refused with an event if the rest would
// have no majority, that a safe removal is done, and that an empty store joins in place
// of the removed one.
func TestRemoval(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := NewFleet(t, smallShape(), 132)
		defer fleet.Stop()
		var reported atomic.Int64
		fleet.Log = func(entry event.Entry) {
			if entry.Number == event.UnsafeRemoval.Number {
				reported.Add(1)
			}
		}
		fleet.Start()
		before := fleet.recordState()
		leader := fleet.Leader()
		var running, dead *ControlMachine
		for _, c := range fleet.ControlMachines {
			if c != leader && running == nil {
				running = c
			} else if c != leader {
				dead = c
			}
		}
		memberID := func(c *ControlMachine) string {
			_, answer := fleet.Get(c.Host+":7004", "/puffin/ready")
			for _, m := range answer["members"].([]any) {
				if member := m.(map[string]any); member["addr"] == c.Host+":7001" {
					return member["id"].(string)
				}
			}
			t.Fatal("the machine is not a member")
			return ""
		}
		address := fleet.Nodes[0].Host + ":7003"
		runningID, deadID := memberID(running), memberID(dead)
		fleet.KillControlMachine(dead, false)
		Wait(2 * time.Second)
		if code, answer := fleet.Request("DELETE", address, "/puffin/stores/"+runningID, ""); code != 409 || reported.Load() == 0 {
			t.Errorf("removal that leaves no majority: status %d %v, %d events", code, answer, reported.Load())
		}
		if code, _ := fleet.Request("DELETE", address, "/puffin/stores/nobody", ""); code != 404 {
			t.Errorf("removal of an unknown store: status %d", code)
		}
		// Removing the dead store is safe.
		if code, answer := fleet.Request("DELETE", address, "/puffin/stores/"+deadID, ""); code != 200 {
			t.Errorf("safe removal: status %d %v", code, answer)
		}
		fleet.untilWritable(5 * time.Second)
		if code, answer := fleet.Request("DELETE", address, "/puffin/stores/"+runningID, ""); code != 409 {
			t.Errorf("second removal: status %d %v", code, answer)
		}
		fleet.checkState(before)
		// An empty machine takes the free membership.
		dead.Disk.Wipe()
		fleet.RestartControlMachine(dead)
		fleet.Until(15*time.Second, "three stores are ready", fleet.controlPlaneReady)
		fleet.untilWritable(5 * time.Second)
	})
}
