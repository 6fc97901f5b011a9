package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUnhealthyWorkerRetriedWithoutReports: a worker turned unhealthy repeatedly
// and missed every target. Since its requests may not be retried it is not probed,
// and nothing more is observed about it. It must be picked again within a window
// and a half.
func TestUnhealthyWorkerRetriedWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer := New("a", time.Second, window, nil)
		entries := threeWorkers()
		balancer.Pick(entries, PickRequest{Route: "p"})
		record := func(worker string, ok bool) {
			balancer.RecordOutcome(Outcome{Worker: worker, Service: "s", Route: "p", UsedSlots: 1, RoundTrip: 100 * time.Millisecond, RunTime: 100 * time.Millisecond, MissedTarget: !ok, OK: ok, AboutWorker: true})
		}
		for range 4 {
			for range 40 {
				record("one", false)
				record("two", true)
				record("three", true)
			}
			if weight := balancer.Weights()["one"]; weight > 0.1 {
				t.Fatalf("weight of %.2f after 40 failures", weight)
			}
			for range 40 {
				record("one", true)
			}
		}
		for range 40 {
			record("one", false)
		}
		failedAt := time.Now()
		recovery := time.Duration(0)
		for recovery == 0 && time.Since(failedAt) < 6*window {
			<-time.After(window / 50)
			picked, _ := balancer.Pick(entries, PickRequest{Route: "p", Target: 300 * time.Millisecond})
			if picked.Worker == "one" {
				recovery = time.Since(failedAt)
				continue
			}
			record(picked.Worker, true)
		}
		t.Logf("picked again after %v", recovery)
		if recovery < window/4 || recovery > window*3/2+window/10 {
			t.Errorf("picked again after %v, the window is %v", recovery, window)
		}
	})
}
