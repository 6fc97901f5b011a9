package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// TestCoreGrows: a control plane of one to seven machines, each configured with at most
// the same three addresses, grows at once to 2f+1 voters for a fault tolerance of f;
// the other machines stay candidates. A control plane with too few machines for that
// raises a warning event, and only such a one does.
func TestCoreGrows(t *testing.T) {
	t.Parallel()
	for i, c := range []struct{ cores, tolerated, voters int }{{1, 0, 1}, {3, 1, 3}, {5, 2, 5}, {7, 3, 7}, {7, 1, 3}, {4, 2, 4}, {1, 1, 1}} {
		t.Run(fmt.Sprintf("%d to bear %d", c.cores, c.tolerated), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := newCoreFleet(t, uint64(i)+540, c.cores, c.tolerated)
				defer l.Stop()
				l.startAll()
				took := l.Until(4*time.Second, "all voters have joined", func() bool { return len(l.members()) == c.voters })
				t.Logf("%d voters %v after the first leader was elected", c.voters, took.Round(time.Millisecond))
				l.timeToWrite(2 * time.Second)
				Wait(6 * time.Second)
				if n := len(l.members()); n != c.voters || !l.controlPlaneReady() {
					t.Errorf("%d voters, all stores ready: %v", n, l.controlPlaneReady())
				}
				if warned := l.countEvents(event.TooFewStores) > 0; warned != (c.voters != 2*c.tolerated+1) {
					t.Errorf("warning about too few stores: %v", warned)
				}
			})
		})
	}
}

// TestGrownCoreToleratesLosses: right after the control plane has grown, as many
// machines as it is to tolerate lose their disks, and all others lose power. Nothing
// acknowledged may be lost, and the wiped machines become members again.
func TestGrownCoreToleratesLosses(t *testing.T) {
	t.Parallel()
	for tolerated := 1; tolerated <= 3; tolerated++ {
		t.Run(fmt.Sprint("bear ", tolerated), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(3) {
				synctest.Test(t, func(t *testing.T) {
					l := newCoreFleet(t, seed+560, 2*tolerated+1, tolerated)
					defer l.Stop()
					l.startAll()
					l.Until(4*time.Second, "all voters have joined", func() bool { return len(l.members()) == 2*tolerated+1 })
					Wait(time.Second)
					written := l.writeKeys(40)
					l.StoreSettings["founding"] = false
					lost := l.ControlMachines[int(seed)%3:]
					for _, c := range l.ControlMachines {
						l.KillControlMachine(c, true)
					}
					for _, c := range lost[:tolerated] {
						c.Disk.Wipe()
					}
					Wait(500 * time.Millisecond)
					for _, c := range l.ControlMachines {
						l.RestartControlMachine(c)
					}
					t.Logf("writes go through %v after the machines are back", l.timeToWrite(10*time.Second).Round(time.Millisecond))
					l.checkKeys(written)
					l.Until(6*time.Second, "the wiped machines are members again", func() bool { return len(l.members()) == 2*tolerated+1 && l.controlPlaneReady() })
				})
			}
		})
	}
}
