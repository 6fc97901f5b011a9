package sim

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestFewFiles gives processes a file descriptor limit too low for links to all of
// their 17 peers, so that they keep closing links. No request may be lost or refused
// by that, and sessions, gossip and the control plane must keep working.
func TestFewFiles(t *testing.T) {
	t.Parallel()
	mean := map[int]float64{}
	// A limit that allows five links, and no limit.
	for _, files := range []int{40, 0} {
		synctest.Test(t, func(t *testing.T) {
			fleet := NewFleet(t, Fumettoteca(0.02), 3)
			fleet.Settings = map[string]any{"files": json.Number(fmt.Sprint(files))}
			defer fleet.Stop()
			fleet.Start()
			waitForLoad := fleet.Load(fleet.Shape.Lines, 30*time.Second)
			for range 150 {
				Wait(200 * time.Millisecond)
				for _, node := range fleet.Nodes {
					mean[files] += float64(node.Proxy.LinkCount()) / 150 / float64(len(fleet.Nodes))
				}
			}
			waitForLoad()
			fleet.CheckInvariants()
			if counts := fleet.Observer.Counts(); counts["done"] != counts["calls"] || counts["calls"] < 400 {
				t.Errorf("not all requests succeeded: %v", counts)
			}
			if !fleet.Converged() {
				t.Error("not every node knows every worker")
			}
		})
	}
	t.Logf("%.1f links on average, %.1f without a limit", mean[40], mean[0])
	if mean[40] > 0.9*mean[0] {
		t.Errorf("%.1f links on average with a limit, want at most 0.9 of the %.1f without one", mean[40], mean[0])
	}
}
