package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRedirectFromFullWorker: requests that move on to another worker instead of
// queueing at a full one, at most twice, are late far less often while some worker
// has free slots. When none has, they are not moved around.
func TestRedirectFromFullWorker(t *testing.T) {
	for _, c := range []struct {
		ingresses, workers, zones int
		load                      float64
	}{{77, 29, 4, 0.6}, {77, 29, 4, 0.78}, {77, 29, 4, 1.1}, {105, 7, 3, 0.78}, {12, 4, 3, 0.78}} {
		badRatio := map[int]float64{}
		for _, maxRedirects := range []int{0, 2} {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(c.ingresses, c.workers, c.zones, 11)
				sim.maxRedirects, sim.repeatable, sim.target = maxRedirects, 0.7, 600*time.Millisecond
				totalSpeed := 0.0
				for i, worker := range sim.workers {
					worker.runTimeFactor = []float64{0.6, 1, 1.4}[i%3]
					totalSpeed += 1 / worker.runTimeFactor
				}
				sim.rate = c.load * 12 * totalSpeed / sim.runTime.Seconds()
				sim.run(8 * time.Second)
				clear(sim.counts)
				crossZoneBefore, redirectsBefore := sim.crossZone, sim.redirects
				// Few workers make few late requests, so these are counted for
				// longer.
				duration := 16 * time.Second
				if c.workers < 12 {
					duration *= 3
				}
				sim.run(duration)
				sim.recordOverdue()
				total := float64(sim.counts["all"])
				badRatio[maxRedirects] = float64(sim.counts["bad"]) / total
				redirectRatio := float64(sim.redirects-redirectsBefore) / total
				t.Logf("%v, at most %d redirects: late %.4f, sent to another zone %.2f, redirects per request %.2f", c, maxRedirects, badRatio[maxRedirects], float64(sim.crossZone-crossZoneBefore)/total, redirectRatio)
				if c.load > 1 && redirectRatio > 0.1 {
					t.Error("requests are redirected although no worker has free slots")
				}
			})
		}
		if c.load < 1 && badRatio[2] > 0.6*badRatio[0] && badRatio[2] > 0.002 {
			t.Errorf("%v: late by limit of redirects %v", c, badRatio)
		}
	}
}
