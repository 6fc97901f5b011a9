package sim

import (
	"testing"
	"time"
)

// TestThinStop: a proxy that is rolled while answers wait behind its thin link
// leaves none of them without an end.
func TestThinStop(t *testing.T) {
	t.Parallel()
	got := runCongested(t, false, bulkLines(linkRate), narrow(linkRate), func(f *Fleet) {
		for _, n := range f.Nodes {
			if n.Worker.Service == "scans" {
				Wait(8 * time.Second)
				n.Proxy.Stop()
				f.StartProxy(n)
			}
		}
	})
	if got.lostBulk() > 3 || got.bulk["done"] < 250 {
		t.Errorf("bulk ended %v", got.bulk)
	}
}

// TestThinCut: while bulk waits the areas are cut off from each other for a
// moment, and for longer than a link lives. Nothing runs twice, all that was
// done is whole, and after it urgent calls and bulk go on.
func TestThinCut(t *testing.T) {
	t.Parallel()
	for _, duration := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			got := runCongested(t, false, bulkLines(linkRate), narrow(linkRate), func(f *Fleet) {
				Wait(10 * time.Second)
				f.cutArea(Areas[1], true)
				Wait(duration)
				f.cutArea(Areas[1], false)
			})
			if got.bulk["done"] < 250 || got.bulk["not whole"]+got.bulk["no time"] > 0 {
				t.Errorf("bulk ended %v", got.bulk)
			}
			if got.urgent["done"] < 5300 {
				t.Errorf("urgent calls ended %v", got.urgent)
			}
		})
	}
}
