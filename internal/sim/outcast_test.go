package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOutcast: all that a store was told of at its start are gone for good, one
// by one, and it loses its own place while it is away. Back with its disk it
// finds the mesh by the members that it knew, and stands by.
func TestOutcast(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t, 850, 3, 1)
		defer l.Stop()
		l.from = time.Now()
		l.up()
		l.Stores["founding"] = false
		Wait(2 * time.Second)
		k := l.marks(10)
		last := l.Cores[0]
		for _, old := range []*Core{l.Cores[1], l.Cores[2]} {
			l.KillCore(old, true)
			l.Net.Isolate(old.Host, true)
			fresh := l.fresh(old)
			l.BackCore(fresh)
			l.Until(4*time.Second, "its place is taken", func() bool { at := l.places(); return len(at) == 3 && at[fresh.Host] })
			Wait(time.Second)
		}
		// It is cut off, and one that stands by takes its place.
		l.Net.Isolate(last.Host, true)
		spare := l.fresh(last)
		l.BackCore(spare)
		l.Until(6*time.Second, "the last one's place is taken", func() bool { at := l.places(); return len(at) == 3 && at[spare.Host] && !at[last.Host] })
		Wait(2 * time.Second)
		l.KillCore(last, false)
		l.Net.Isolate(last.Host, false)
		l.BackCore(last)
		took := l.Until(4*time.Second, "the one without a place is ready", func() bool {
			code, got := l.Get(last.Host+":7004", "/puffin/ready")
			return code == 200 && got["role"] == "spare"
		})
		t.Logf("stands by %v after its start", took.Round(time.Millisecond))
		l.holds(k)
	})
}
