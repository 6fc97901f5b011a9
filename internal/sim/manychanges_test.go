package sim

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// absences are the ways in which a member misses hundreds of changes. Each begins when
// do is called and ends when the returned function is.
var absences = []struct {
	name string
	do   func(l *coreFleet, c *ControlMachine) (back func())
}{
	{"away", func(l *coreFleet, c *ControlMachine) func() {
		l.KillControlMachine(c, true)
		return func() { l.RestartControlMachine(c) }
	}},
	{"cut off", func(l *coreFleet, c *ControlMachine) func() {
		l.Net.Isolate(c.Host, true)
		return func() { l.Net.Isolate(c.Host, false) }
	}},
	{"frozen", func(l *coreFleet, c *ControlMachine) func() {
		l.Net.PauseProcess("store-"+c.Host, true)
		l.Net.PauseProcess("core-"+c.Host, true)
		return func() {
			l.Net.PauseProcess("store-"+c.Host, false)
			l.Net.PauseProcess("core-"+c.Host, false)
		}
	}},
	{"on a slow disk", func(l *coreFleet, c *ControlMachine) func() {
		c.Disk.SetSyncDelay(400 * time.Millisecond)
		return func() { c.Disk.SetSyncDelay(2 * time.Millisecond) }
	}},
	{"on a full disk", func(l *coreFleet, c *ControlMachine) func() {
		c.Disk.LimitFreeBytes(0)
		return func() { c.Disk.LimitFreeBytes(-1) }
	}},
	{"on a disk that hangs", func(l *coreFleet, c *ControlMachine) func() {
		c.Disk.HangSyncs("", true)
		return func() { c.Disk.HangSyncs("", false) }
	}},
	{"emptied", func(l *coreFleet, c *ControlMachine) func() {
		l.KillControlMachine(c, true)
		c.Disk.Wipe()
		Wait(500 * time.Millisecond)
		l.RestartControlMachine(c)
		// Its refill goes on during the changes.
		return func() {}
	}},
}

// applyChanges puts the given number of configurations in force, one after another, and
// returns the number of the last one that was confirmed.
func (l *coreFleet) applyChanges(count int, first uint64) uint64 {
	last, cores := first, l.controlMachines()
	for i := range count {
		number := first + uint64(i) + 1
		for attempt := range 30 {
			c := cores[(i+attempt)%len(cores)]
			if _, registry := l.controlProcessesOf(c); registry == nil {
				continue
			}
			code, _ := l.Request("PUT", c.Host+":7003", "/puffin/config?by=number&left_ms=600", l.numberedDoc(number, fmt.Sprint("p", number)))
			if code == 200 {
				last = number
				break
			}
		}
	}
	return last
}

// TestManyChanges: hundreds of changes of the configuration are confirmed while a
// member misses them. It returns and catches up within the bound. Right after that the
// other leader is killed for good, and the member must answer with the newest
// configuration.
func TestManyChanges(t *testing.T) {
	t.Parallel()
	for _, absence := range absences {
		for _, count := range []int{300, 900} {
			if count > 300 && absence.name != "away" && absence.name != "emptied" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d", absence.name, count), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { catchUpAfterAbsence(t, absence.do, count) })
			})
		}
	}
}

func catchUpAfterAbsence(t *testing.T, begin func(*coreFleet, *ControlMachine) func(), count int) {
	l := newCoreFleet(t, 960, 3, 1)
	defer l.Stop()
	l.startAll()
	l.Until(4*time.Second, "all voters have joined", func() bool { return l.settled(3) && l.Leader() != nil })
	l.StoreSettings["founding"] = false
	first := l.applyChanges(3, 0)
	leader := l.Leader()
	member := l.ControlMachines[slices.IndexFunc(l.ControlMachines, func(c *ControlMachine) bool { return c != leader })]
	restore := begin(l, member)
	last := l.applyChanges(count, first)
	if last < uint64(count) {
		t.Fatalf("only %d of %d changes were confirmed", last, count)
	}
	restore()
	start := time.Now()
	// Changes go on while it catches up.
	ctx, cancel := context.WithCancel(l.g.Context())
	done := make(chan uint64, 1)
	l.g.Go("changes", func(context.Context) {
		newest := last
		for ctx.Err() == nil {
			newest = l.applyChanges(1, newest)
			Wait(20 * time.Millisecond)
		}
		done <- newest
	})
	l.Until(8*time.Second, "the member has caught up", func() bool {
		current := l.Leader()
		return current != nil && (current == member || l.isMember(member, current, 10))
	})
	took := time.Since(start)
	cancel()
	last = <-done
	if took > 4*time.Second+500*time.Millisecond {
		t.Errorf("caught up after %v", took)
	}
	// The member may already lead; otherwise the leader is killed.
	if leader = l.Leader(); leader != nil && leader != member {
		l.KillControlMachine(leader, true)
	}
	addr := member.Host + ":7003"
	var got map[string]any
	l.Until(10*time.Second, "it returns a configuration", func() bool {
		var code int
		code, got = l.Get(addr, "/puffin/config?as=sent&left_ms=1000")
		return code == 200
	})
	if version, _ := got["version"].(float64); uint64(version) != last {
		t.Errorf("version %v is read back, %d was confirmed", got["version"], last)
	}
	t.Logf("%d changes, caught up after %v", last, took.Round(time.Millisecond))
}
