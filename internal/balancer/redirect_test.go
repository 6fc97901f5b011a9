package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRedirectFromFullWorker: jobs that go on to another worker rather than wait, twice at the
// most, are late far less often while there are free slots somewhere; when there
// are none, they aren't carried about.
func TestRedirectFromFullWorker(t *testing.T) {
	for _, c := range []struct {
		fronts, workers, areas int
		load                   float64
	}{{77, 29, 4, 0.6}, {77, 29, 4, 0.78}, {77, 29, 4, 1.1}, {105, 7, 3, 0.78}, {12, 4, 3, 0.78}} {
		badRatio := map[int]float64{}
		for _, maxRedirects := range []int{0, 2} {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(c.fronts, c.workers, c.areas, 11)
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
				// A few workers make few late jobs: they are counted for longer.
				duration := 16 * time.Second
				if c.workers < 12 {
					duration *= 3
				}
				sim.run(duration)
				sim.recordOverdue()
				total := float64(sim.counts["all"])
				badRatio[maxRedirects] = float64(sim.counts["bad"]) / total
				redirectRatio := float64(sim.redirects-redirectsBefore) / total
				t.Logf("%v, rushes %d: late %.4f, sent to another area %.2f, hand-overs more %.2f", c, maxRedirects, badRatio[maxRedirects], float64(sim.crossZone-crossZoneBefore)/total, redirectRatio)
				if c.load > 1 && redirectRatio > 0.1 {
					t.Error("carried about although nobody has room")
				}
			})
		}
		if c.load < 1 && badRatio[2] > 0.6*badRatio[0] && badRatio[2] > 0.002 {
			t.Errorf("%v: late %v", c, badRatio)
		}
	}
}
