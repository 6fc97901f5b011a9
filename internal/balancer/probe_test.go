package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestProbeRate: of repeatable requests, a worker at the highest suspicion level
// gets a tenth of an even share, and three times as much at level 1, unless it is
// merely warming up. Requests that may not be retried do not probe.
func TestProbeRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			suspicion, warmup  string
			repeatable         bool
			minShare, maxShare float64
		}{{"2", "", true, 0.06, 0.13}, {"1", "", true, 0.21, 0.36}, {"1", "1", true, 0.06, 0.13}, {"1", "", false, 0, 0.02}} {
			balancer := New("a", time.Second, window, nil)
			var picked []string
			entries := threeWorkers()
			for _, name := range []string{"four", "five", "six", "seven", "eight"} {
				entries = append(entries, entry(name, "a"))
			}
			entries[0].Meta["doubts"], entries[0].Meta["cold"] = c.suspicion, c.warmup
			for range 16000 {
				entry, _ := balancer.Pick(entries, PickRequest{Route: "p", Repeatable: c.repeatable})
				picked = append(picked, entry.Worker)
				balancer.RecordOutcome(Outcome{Worker: entry.Worker, Service: "s", Route: "p", UsedSlots: -1, RoundTrip: 100 * time.Millisecond, RunTime: 100 * time.Millisecond, OK: true, AboutWorker: true})
			}
			count := 0
			for _, w := range picked {
				if w == "one" {
					count++
				}
			}
			if share := float64(count*len(entries)) / float64(len(picked)); share < c.minShare || share > c.maxShare {
				t.Errorf("%+v: %.3f of an even share", c, share)
			}
		}
	})
}

// TestRecoveredWorkerReadmitted: one of 36 workers, which get 14 requests per
// second each, fails all its requests for six seconds. Its probes must show its
// recovery, so that it is readmitted within a few seconds, on average over sixteen
// runs.
func TestRecoveredWorkerReadmitted(t *testing.T) {
	const runs = 16
	delay, share := 0.0, 0.0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(36, 36, 3, seed)
			sim.runTime, sim.target, sim.rate = 100*time.Millisecond, 600*time.Millisecond, 500
			worker := sim.workers[0]
			worker.failure = func(now time.Duration) (string, float64) {
				if now < 4*time.Second || now > 10*time.Second {
					return "", 0
				}
				return "errors", 1
			}
			sim.run(10 * time.Second)
			share += sim.loadShare(5, 10, func(other *simWorker) bool { return other == worker }) / runs
			for worker.published > 0 && sim.currentSecond() < 40 {
				sim.run(window / 100)
			}
			delay += (time.Since(sim.started) - window).Seconds() / runs
		})
	}
	t.Logf("%.2f of an even share during the fault, readmitted after %.1f s", share, delay)
	if share > 0.2 || delay > 8 {
		t.Error("too many requests during the fault, or readmitted too slowly")
	}
}
