package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRemovedMemberReturns: all stores that a store was configured with at its start
// are gone for good, one by one, and it loses its own membership while it is cut off.
// Restarted with its disk, it finds the cluster through the members it had stored, and
// becomes a candidate.
func TestRemovedMemberReturns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newCoreFleet(t, 850, 3, 1)
		defer l.Stop()
		l.start = time.Now()
		l.startAll()
		l.StoreSettings["founding"] = false
		Wait(2 * time.Second)
		written := l.writeKeys(10)
		removed := l.ControlMachines[0]
		for _, old := range []*ControlMachine{l.ControlMachines[1], l.ControlMachines[2]} {
			l.KillControlMachine(old, true)
			l.Net.Isolate(old.Host, true)
			replacement := l.addReplacement(old)
			l.RestartControlMachine(replacement)
			l.Until(4*time.Second, "the replacement is a member", func() bool { in := l.members(); return len(in) == 3 && in[replacement.Host] })
			Wait(time.Second)
		}
		// The last original member is cut off, and a candidate replaces it.
		l.Net.Isolate(removed.Host, true)
		spare := l.addReplacement(removed)
		l.RestartControlMachine(spare)
		l.Until(6*time.Second, "the last original member is replaced", func() bool { in := l.members(); return len(in) == 3 && in[spare.Host] && !in[removed.Host] })
		Wait(2 * time.Second)
		l.KillControlMachine(removed, false)
		l.Net.Isolate(removed.Host, false)
		l.RestartControlMachine(removed)
		took := l.Until(4*time.Second, "the removed member is ready as a candidate", func() bool {
			code, got := l.Get(removed.Host+":7004", "/puffin/ready")
			return code == 200 && got["role"] == "spare"
		})
		t.Logf("a candidate %v after its start", took.Round(time.Millisecond))
		l.checkKeys(written)
	})
}
