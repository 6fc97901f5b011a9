package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWorkerKilled: requests in progress at a worker that is killed are never
// run again on a route whose retry rule is "never".
func TestWorkerKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, Fumettoteca(0.5), 2)
		defer f.Stop()
		f.Start()
		wait := f.Load(f.Shape.Lines, 8*time.Second)
		for i := range 6 {
			Wait(time.Second)
			f.KillWorker(f.Nodes[i])
			Wait(200 * time.Millisecond)
			f.StartWorker(f.Nodes[i], f.Shape.ServiceOf(i))
		}
		wait()
		f.CheckInvariants()
		if n := f.Observer.Counts(); n["unknown"] == 0 {
			t.Errorf("no request was in progress at a killed worker, which the test needs: %v", n)
		}
	})
}
