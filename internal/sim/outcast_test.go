package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRemovedMemberReturns: all that a store was told of at its start are gone for good, one
// by one, and it loses its own place while it is away. Back with its disk it
// finds the mesh by the members that it knew, and stands by.
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
			l.Until(4*time.Second, "its place is taken", func() bool { at := l.places(); return len(at) == 3 && at[replacement.Host] })
			Wait(time.Second)
		}
		// It is cut off, and one that stands by takes its place.
		l.Net.Isolate(removed.Host, true)
		spare := l.fresh(removed)
		l.BackCore(spare)
		l.Until(6*time.Second, "the last one's place is taken", func() bool { at := l.places(); return len(at) == 3 && at[spare.Host] && !at[removed.Host] })
		Wait(2 * time.Second)
		l.KillCore(removed, false)
		l.Net.Isolate(removed.Host, false)
		l.BackCore(removed)
		took := l.Until(4*time.Second, "the one without a place is ready", func() bool {
			code, got := l.Get(removed.Host+":7004", "/puffin/ready")
			return code == 200 && got["role"] == "spare"
		})
		t.Logf("stands by %v after its start", took.Round(time.Millisecond))
		l.holds(written)
	})
}
