package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestLoadSpread: few workers of different speeds, very many ingresses, and zones
// with uneven numbers of both. Each ingress hears from a worker only once in
// several seconds, and still must not overload the workers in its own zone.
func TestLoadSpread(t *testing.T) {
	for _, c := range []struct {
		ingresses, workers, zones int
		load                      float64
		runTime                   time.Duration
	}{{105, 7, 3, 0.58, 260 * time.Millisecond}, {105, 7, 3, 0.75, 260 * time.Millisecond}, {77, 39, 4, 0.6, 270 * time.Millisecond}, {77, 39, 4, 0.8, 270 * time.Millisecond}, {12, 4, 3, 0.6, 270 * time.Millisecond}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			for _, randomPick := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					sim := newSimulation(c.ingresses, c.workers, c.zones, 11)
					sim.randomPick, sim.repeatable, sim.runTime = randomPick, 0.7, c.runTime
					totalSpeed := 0.0
					for i, worker := range sim.workers {
						worker.runTimeFactor = []float64{0.7, 0.7, 1.6}[i%3]
						totalSpeed += 1 / worker.runTimeFactor
					}
					sim.rate = c.load * 12 * totalSpeed / sim.runTime.Seconds()
					sim.run(8 * time.Second)
					clear(sim.counts)
					crossZoneBefore := sim.crossZone
					sim.run(16 * time.Second)
					sim.recordOverdue()
					badRatio, crossZoneRatio := float64(sim.counts["bad"])/float64(sim.counts["all"]), float64(sim.crossZone-crossZoneBefore)/float64(sim.counts["all"])
					t.Logf("random picks %v: failed or late %.4f, sent to another zone %.2f", randomPick, badRatio, crossZoneRatio)
					if !randomPick && (badRatio > 0.03 || crossZoneRatio > 0.35) {
						t.Error("some workers are overloaded, or too many requests leave their zone")
					}
				})
			}
		})
	}
}
