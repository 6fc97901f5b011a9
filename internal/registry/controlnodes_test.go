package registry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/membership"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
)

// TestTell: hundreds of beats in a row cost no look over all control nodes each,
// and one that is heard since is told a part of a beat later.
func TestTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Settings: settings.Settings{InternalAddr: "h0:1", ConfigBound: 2 * time.Second}, peerNodes: map[string]*peerNode{}}
		hear := func(i int) {
			r.peerNodes[fmt.Sprint(i)] = &peerNode{member: membership.Member{InternalAddr: fmt.Sprintf("h%d:1", i)}, lastHeard: time.Now()}
		}
		for i := 1; i < 35; i++ {
			hear(i)
		}
		if core, name := r.cachedControlNodes(); len(core) != 35 || name != membership.HashNames(core) {
			t.Fatal(core, name)
		}
		if n := testing.AllocsPerRun(10, func() { r.cachedControlNodes() }); n != 0 {
			t.Errorf("%.0f allocations for a beat", n)
		}
		hear(35)
		task.Sleep(t.Context(), r.Settings.HeartbeatInterval()/4)
		if core, name := r.cachedControlNodes(); !slices.Contains(core, "h35:1") || name != membership.HashNames(core) {
			t.Error(core, name)
		}
	})
}
