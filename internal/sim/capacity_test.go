package sim

import (
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestCapacity measures how far Ingenzi's load can be raised before more than 1 % of calls
// are answered busy, on all workers and on fewer. It takes minutes:
// PUFFIN_CAPACITY=1 go test ./internal/sim -run Capacity -v
func TestCapacity(t *testing.T) {
	if os.Getenv("PUFFIN_CAPACITY") == "" {
		t.Skip("a measurement that runs only if PUFFIN_CAPACITY is set")
	}
	for _, nodes := range []int{14, 11} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			bestScale, bestUse := 0.0, 0.0
			for scale := 0.6; scale < 4; scale += 0.2 {
				failed, used := 0.0, 0.0
				synctest.Test(t, func(t *testing.T) {
					shape := Ingenzi(scale)
					shape.Nodes = nodes
					f := NewFleet(t, shape, 430)
					defer f.Stop()
					f.Start()
					f.Load(shape.Lines, 12*time.Second)()
					counts := f.Observer.Counts()
					failed = float64(counts["busy"]+counts["unknown"]) / float64(counts["calls"])
					for _, service := range shape.Services {
						used += float64(f.Observer.Executions(service)) * shape.ServiceTimes[service].Seconds() / (float64(nodes*shape.Slots) * 12)
					}
				})
				t.Logf("%d workers, %.1f times the rate: %.4f busy or unknown, slot utilization %.2f", nodes, scale, failed, used)
				if failed > 0.01 {
					break
				}
				bestScale, bestUse = scale, used
			}
			t.Logf("%d workers serve %.1f times Ingenzi's rate with a hundredth busy at most, slot utilization %.2f", nodes, bestScale, bestUse)
		})
	}
}
