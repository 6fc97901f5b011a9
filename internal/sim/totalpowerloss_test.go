package sim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// faultsBefore lists what may happen to the control plane right before all of it loses
// power. Each returns how many disks it lost whose data is not known to be replicated
// again; that many fewer disks may be lost in the power loss.
var faultsBefore = []struct {
	name string
	do   func(l *coreFleet, rnd *rand.Rand) (lost int)
}{
	{"nothing", func(*coreFleet, *rand.Rand) int { return 0 }},
	{"the leader was killed", func(l *coreFleet, rnd *rand.Rand) int {
		if w := l.Leader(); w != nil {
			l.KillControlMachine(w, false)
			Wait(time.Duration(rnd.IntN(400)) * time.Millisecond)
			l.RestartControlMachine(w)
			Wait(time.Duration(rnd.IntN(200)) * time.Millisecond)
		}
		return 0
	}},
	{"a member left", func(l *coreFleet, rnd *rand.Rand) int {
		c := l.anyMember(rnd)
		c.Registry.Stop()
		c.Store.Stop()
		l.KillControlMachine(c, true)
		Wait(time.Duration(rnd.IntN(600)) * time.Millisecond)
		l.RestartControlMachine(c)
		return 0
	}},
	{"a disk was lost", func(l *coreFleet, rnd *rand.Rand) int {
		c := l.anyMember(rnd)
		l.KillControlMachine(c, true)
		c.Disk.Wipe()
		Wait(200 * time.Millisecond)
		l.RestartControlMachine(c)
		Wait(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		return 1
	}},
	{"a lost machine was replaced", func(l *coreFleet, rnd *rand.Rand) int {
		lost := l.anyMember(rnd)
		l.KillControlMachine(lost, true)
		lost.Disk.Wipe()
		Wait(time.Second)
		want := len(l.members())
		fresh := l.addReplacement(lost)
		l.RestartControlMachine(fresh)
		// The replacement counts once a leader elected by the new members is
		// ready.
		l.Until(6*time.Second, "its membership is filled", func() bool {
			at := l.members()
			return len(at) == want && !at[lost.Host] && l.settled(want)
		})
		l.removeCore(lost)
		return 0
	}},
}

// anyMember returns a random running machine that votes.
func (l *coreFleet) anyMember(rnd *rand.Rand) *ControlMachine {
	members := l.members()
	cores := l.controlMachines()
	for _, i := range rnd.Perm(len(cores)) {
		if running, _ := l.controlProcessesOf(cores[i]); running != nil && members[cores[i].Host] {
			return cores[i]
		}
	}
	l.T.Fatal("no voting machine runs")
	return nil
}

// removeCore removes a permanently lost machine from the fleet.
func (l *coreFleet) removeCore(lost *ControlMachine) {
	l.Fleet.mu.Lock()
	defer l.Fleet.mu.Unlock()
	var remaining []*ControlMachine
	for _, c := range l.ControlMachines {
		if c != lost {
			remaining = append(remaining, c)
		}
	}
	l.ControlMachines = remaining
}

// TestTotalPowerLoss cuts the power of every control-plane machine at one moment during
// writes, non-voters included, and loses as many disks as the control plane must
// tolerate. Each test does this twice, right after another fault and possibly before
// the recovery from it is complete. Every write acknowledged before the power loss must
// be readable afterwards.
func TestTotalPowerLoss(t *testing.T) {
	t.Parallel()
	// The race detector makes a run ten times as long.
	seedCount := uint64(3)
	if testing.Short() {
		seedCount = 1
	}
	for _, c := range []struct{ cores, bear int }{{3, 1}, {5, 2}, {5, 1}, {7, 2}} {
		for i, trouble := range faultsBefore {
			t.Run(fmt.Sprintf("%d to bear %d, %s", c.cores, c.bear, trouble.name), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds(seedCount) {
					synctest.Test(t, func(t *testing.T) {
						fleet := newCoreFleet(t, 1000+10*seed+uint64(i), c.cores, c.bear)
						defer fleet.Stop()
						rnd := rand.New(rand.NewPCG(seed, uint64(i)))
						fleet.seed = seed
						fleet.startAll()
						fleet.Until(6*time.Second, "all memberships are filled", func() bool { return len(fleet.members()) == 2*c.bear+1 })
						fleet.StoreSettings["founding"] = false
						for day := range 2 {
							fleet.losePower(rnd, fmt.Sprint("day", day, "-"), c.bear, trouble.do)
						}
					})
				}
			})
		}
	}
}

// losePower injects a fault, cuts the power of all machines during writes, starts them
// again and checks that every acknowledged write is readable.
func (l *coreFleet) losePower(rnd *rand.Rand, prefix string, tolerated int, faultBefore func(*coreFleet, *rand.Rand) int) {
	stopWriting := l.writeContinuously(prefix)
	Wait(time.Duration(500+rnd.IntN(500)) * time.Millisecond)
	lost := faultBefore(l, rnd)
	cores := l.controlMachines()
	rnd.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	for _, c := range cores {
		l.KillControlMachine(c, true)
	}
	acked := stopWriting()
	if len(acked) < 25 {
		l.T.Errorf("only %d writes were acknowledged", len(acked))
	}
	// The lost disks may be those of machines that lost theirs before. These
	// machines return empty at once or stay unreachable until the others lead.
	wiped, away := cores[:tolerated-lost], rnd.IntN(2) == 0
	for _, c := range wiped {
		c.Disk.Wipe()
		l.Net.Isolate(c.Host, away)
	}
	for i, c := range cores {
		Wait(time.Duration(rnd.IntN(500)) * time.Millisecond)
		if !away || i >= len(wiped) {
			l.RestartControlMachine(c)
		}
	}
	l.untilOrDescribe("a store leads", func() bool { return l.Leader() != nil })
	if away {
		l.checkKeys(acked)
		for _, c := range wiped {
			l.Net.Isolate(c.Host, false)
			l.RestartControlMachine(c)
		}
	}
	l.untilOrDescribe("all memberships are filled", func() bool { return l.settled(2*tolerated + 1) })
	l.checkKeys(acked)
	// Replication must be complete by now for the next power loss.
	Wait(4 * time.Second)
}

// untilOrDescribe waits up to 15 s for a condition and logs the state of the stores
// shortly before it times out.
func (l *coreFleet) untilOrDescribe(what string, condition func() bool) {
	l.T.Helper()
	start := time.Now()
	l.Until(15*time.Second, what, func() bool {
		if condition() {
			return true
		}
		if time.Since(start) > 14900*time.Millisecond {
			l.logStatus()
		}
		return false
	})
}

// logStatus logs the status that each store reports.
func (l *coreFleet) logStatus() {
	for _, c := range l.controlMachines() {
		_, answer := l.Get(c.Host+":7004", "/puffin/ready")
		l.T.Log(l.seed, c.Host, answer["role"], answer["version_slot"], answer["ballot"], answer["why"], answer["members"])
	}
}
