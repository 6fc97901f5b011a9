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
		l := newLab(t, 850, 3, 1)
		defer l.Stop()
		l.from = time.Now()
		l.up()
		l.Stores["founding"] = false
		Wait(2 * time.Second)
		written := l.marks(10)
		removed := l.Cores[0]
		for _, old := range []*Core{l.Cores[1], l.Cores[2]} {
			l.KillCore(old, true)
			l.Net.Isolate(old.Host, true)
			replacement := l.fresh(old)
			l.BackCore(replacement)
			l.Until(4*time.Second, "the replacement is a member", func() bool { in := l.places(); return len(in) == 3 && in[replacement.Host] })
			Wait(time.Second)
		}
		// The last original member is cut off, and a candidate replaces it.
		l.Net.Isolate(removed.Host, true)
		spare := l.fresh(removed)
		l.BackCore(spare)
		l.Until(6*time.Second, "the last original member is replaced", func() bool { in := l.places(); return len(in) == 3 && in[spare.Host] && !in[removed.Host] })
		Wait(2 * time.Second)
		l.KillCore(removed, false)
		l.Net.Isolate(removed.Host, false)
		l.BackCore(removed)
		took := l.Until(4*time.Second, "the removed member is ready as a candidate", func() bool {
			code, got := l.Get(removed.Host+":7004", "/puffin/ready")
			return code == 200 && got["role"] == "spare"
		})
		t.Logf("a candidate %v after its start", took.Round(time.Millisecond))
		l.holds(written)
	})
}
