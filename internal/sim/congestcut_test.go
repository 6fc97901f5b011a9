package sim

import (
	"testing"
	"time"
)

// TestThinStop checks that a rolling restart of proxies leaves no response unfinished that
// waits behind the thin link.
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
		t.Errorf("outcomes of bulk %v", got.bulk)
	}
}

// TestThinCut partitions the zones while bulk is waiting, once for a moment and once for
// longer than a connection survives. Nothing runs twice, everything served is complete, and
// urgent calls and bulk continue afterwards.
func TestThinCut(t *testing.T) {
	t.Parallel()
	for _, duration := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			got := runCongested(t, false, bulkLines(linkRate), narrow(linkRate), func(f *Fleet) {
				Wait(10 * time.Second)
				f.cutZone(Zones[1], true)
				Wait(duration)
				f.cutZone(Zones[1], false)
			})
			if got.bulk["done"] < 250 || got.bulk["incomplete response"]+got.bulk["no Retry-After"] > 0 {
				t.Errorf("outcomes of bulk %v", got.bulk)
			}
			if got.urgent["done"] < 5300 {
				t.Errorf("outcomes of urgent calls %v", got.urgent)
			}
		})
	}
}
