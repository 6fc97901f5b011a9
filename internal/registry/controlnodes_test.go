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

// Computing the list of control nodes for each heartbeat response would cost a pass over
// all control nodes hundreds of times per interval. The test checks that heartbeats in
// quick succession use the cached list, and that a control node heard from since appears in
// it a fraction of a heartbeat interval later.
func TestControlNodeListCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &Registry{Settings: settings.Settings{InternalAddr: "h0:1", ConfigBound: 2 * time.Second}, peerNodes: map[string]*peerNode{}}
		addPeer := func(i int) {
			registry.peerNodes[fmt.Sprint(i)] = &peerNode{member: membership.Member{InternalAddr: fmt.Sprintf("h%d:1", i)}, lastHeard: time.Now()}
		}
		for i := 1; i < 35; i++ {
			addPeer(i)
		}
		if addrs, hash := registry.cachedControlNodes(); len(addrs) != 35 || hash != membership.HashNames(addrs) {
			t.Fatal(addrs, hash)
		}
		if n := testing.AllocsPerRun(10, func() { registry.cachedControlNodes() }); n != 0 {
			t.Errorf("%.0f allocations per heartbeat", n)
		}
		addPeer(35)
		task.Sleep(t.Context(), registry.Settings.HeartbeatInterval()/4)
		if addrs, hash := registry.cachedControlNodes(); !slices.Contains(addrs, "h35:1") || hash != membership.HashNames(addrs) {
			t.Error(addrs, hash)
		}
	})
}
