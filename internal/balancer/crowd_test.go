package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestCrowd: few workers of mixed speeds, very many fronts, and areas with
// uneven numbers of both callers and workers. Each front meets a worker once in
// seconds, and must still not crowd those that are near.
func TestCrowd(t *testing.T) {
	for _, c := range []struct {
		fronts, workers, areas int
		load                   float64
		work                   time.Duration
	}{{105, 7, 3, 0.58, 260 * time.Millisecond}, {105, 7, 3, 0.75, 260 * time.Millisecond}, {77, 39, 4, 0.6, 270 * time.Millisecond}, {77, 39, 4, 0.8, 270 * time.Millisecond}, {12, 4, 3, 0.6, 270 * time.Millisecond}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			for _, blind := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					f := newField(c.fronts, c.workers, c.areas, 11)
					f.blind, f.safe, f.work = blind, 0.7, c.work
					sum := 0.0
					for i, h := range f.hands {
						h.speed = []float64{0.7, 0.7, 1.6}[i%3]
						sum += 1 / h.speed
					}
					f.rate = c.load * 12 * sum / f.work.Seconds()
					f.play(8 * time.Second)
					clear(f.counts)
					far := f.far
					f.play(16 * time.Second)
					f.overdue()
					bad, away := float64(f.counts["bad"])/float64(f.counts["all"]), float64(f.far-far)/float64(f.counts["all"])
					t.Logf("by chance %v: failed or late %.4f, sent to another area %.2f", blind, bad, away)
					if !blind && (bad > 0.03 || away > 0.35) {
						t.Error("some workers are crowded")
					}
				})
			}
		})
	}
}
