package sim

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestFewFiles: processes that may open few descriptors keep fewer links than
// others, and close some all the time, since each has 17 fellows. No job is lost
// or refused by it, and sessions, gossip and the core go on.
func TestFewFiles(t *testing.T) {
	t.Parallel()
	mean := map[int]float64{}
	// Five links, and any number.
	for _, files := range []int{40, 0} {
		synctest.Test(t, func(t *testing.T) {
			fleet := NewFleet(t, Fumettoteca(0.02), 3)
			fleet.Told = map[string]any{"files": json.Number(fmt.Sprint(files))}
			defer fleet.Stop()
			fleet.Start()
			waitForLoad := fleet.Load(fleet.S.Lines, 30*time.Second)
			for range 150 {
				Wait(200 * time.Millisecond)
				for _, counts := range fleet.Nodes {
					mean[files] += float64(counts.Proxy.LinkCount()) / 150 / float64(len(fleet.Nodes))
				}
			}
			waitForLoad()
			fleet.Judge()
			if counts := fleet.Obs.Counts(); counts["done"] != counts["calls"] || counts["calls"] < 400 {
				t.Errorf("not all were done: %v", counts)
			}
			if !fleet.Whole() {
				t.Error("not all know all workers")
			}
		})
	}
	t.Logf("%.1f links on the mean, %.1f without a bound", mean[40], mean[0])
	if mean[40] > 0.9*mean[0] {
		t.Errorf("%.1f links were kept on the mean, %.1f without a bound", mean[40], mean[0])
	}
}
