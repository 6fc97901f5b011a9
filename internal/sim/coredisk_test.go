package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// diskFaults are the ways in which a disk fails, with their repairs.
var diskFaults = []struct {
	name     string
	do, undo func(d *Disk)
}{
	{"hangs", func(d *Disk) { d.HangSyncs("", true) }, func(d *Disk) { d.HangSyncs("", false) }},
	{"hangs at a checkpoint", func(d *Disk) { d.HangSyncs("c-", true) }, func(d *Disk) { d.HangSyncs("", false) }},
	{"slow", func(d *Disk) { d.SetSyncDelay(700 * time.Millisecond) }, func(d *Disk) { d.SetSyncDelay(2 * time.Millisecond) }},
	{"full", func(d *Disk) { d.LimitFreeBytes(10) }, func(d *Disk) { d.LimitFreeBytes(-1) }},
	{"refuses", func(d *Disk) { d.FailWrites(true) }, func(d *Disk) { d.FailWrites(false) }},
}

// writeGaps writes continuously for a duration, and returns the longest time between two
// acknowledgements and the number of writes.
func (l *coreFleet) writeGaps(duration time.Duration) (longest time.Duration, writes int) {
	for start := time.Now(); time.Since(start) < duration; writes++ {
		longest = max(longest, l.timeToWrite(5*time.Second))
	}
	return longest, writes
}

// pickFailing picks the leader, if withLeader is set, and followers.
func (l *coreFleet) pickFailing(count int, withLeader bool) (picked []*ControlMachine) {
	leader := l.markFaulted(l.Leader())
	if withLeader {
		picked = append(picked, leader)
	}
	for _, c := range l.ControlMachines {
		if c != leader && len(picked) < count {
			picked = append(picked, c)
		}
	}
	return picked
}

// TestDiskFaults makes the disks of as many machines as the control plane tolerates losing
// hang, slow down, fill up or refuse writes, with and without the leader's among them. A
// fault of the leader's disk stops writes for a quarter of change_ms at most, one of a
// follower's disk does not stop them. An affected store reports its fault and recovers with
// its disk. A power loss everywhere at the end shows that nothing was acknowledged before
// it was synced.
func TestDiskFaults(t *testing.T) {
	skipUnderRace(t)
	for i, fault := range diskFaults {
		for _, setup := range []struct {
			machines, failing int
			withLeader        bool
		}{{3, 1, true}, {3, 1, false}, {5, 1, true}, {5, 2, true}, {5, 2, false}} {
			t.Run(fmt.Sprintf("%s, %d of %d, writer %v", fault.name, setup.failing, setup.machines, setup.withLeader), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					l := newCoreFleet(t, uint64(700+i), setup.machines, setup.machines/2)
					defer l.Stop()
					l.start = time.Now()
					l.startAll()
					l.StoreSettings["founding"] = false
					l.Until(4*time.Second, "all machines are members", func() bool { return l.settled(setup.machines) })
					// Several hundred log entries, so that a snapshot is due during the
					// fault.
					expected := l.writeKeys(20)
					l.writeGaps(2 * time.Second)
					failing := l.pickFailing(setup.failing, setup.withLeader)
					for _, machine := range failing {
						fault.do(machine.Disk)
					}
					longest, writes := l.writeGaps(6 * time.Second)
					t.Logf("%d writes, the longest gap %v", writes, longest.Round(time.Millisecond))
					bound := 150 * time.Millisecond
					if setup.withLeader {
						bound = 500 * time.Millisecond
					}
					if longest > bound {
						t.Errorf("no write succeeded for %v", longest)
						l.logEvents(t, 9*time.Second)
					}
					for key, rev := range l.writeKeys(20) {
						expected[key] = rev
					}
					for _, machine := range failing {
						fault.undo(machine.Disk)
					}
					l.Until(6*time.Second, "all stores have recovered", func() bool { return l.settled(setup.machines) })
					l.timeToWrite(2 * time.Second)
					for _, machine := range l.ControlMachines {
						l.KillControlMachine(machine, true)
					}
					for _, machine := range l.ControlMachines {
						l.RestartControlMachine(machine)
					}
					l.timeToWrite(10 * time.Second)
					l.checkKeys(expected)
				})
			})
		}
	}
}

// TestFullDiskFreed checks that a disk that stays full is freed by a snapshot, for which
// space was reserved. The store recovers without help.
func TestFullDiskFreed(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		l := newCoreFleet(t, 720, 3, 1)
		defer l.Stop()
		l.start = time.Now()
		l.startAll()
		l.writeGaps(8 * time.Second)
		leader := l.markFaulted(l.Leader())
		leader.Disk.LimitFreeBytes(10)
		longest, _ := l.writeGaps(3 * time.Second)
		l.Until(8*time.Second, "the store with the full disk has recovered", func() bool { return l.controlPlaneReady() && len(l.members()) == 3 })
		t.Logf("the longest gap %v", longest.Round(time.Millisecond))
		if code, got := l.Get(leader.Host+":7004", "/puffin/ready"); code != 200 || got["disk_ill"] == true {
			t.Errorf("the store with the full disk reports %v", got)
			l.logEvents(t, 12*time.Second)
		}
	})
}
