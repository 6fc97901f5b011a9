package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWorkerKilled: jobs under way at a worker that dies are never run again
// on a never path.
func TestWorkerKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, Fumettoteca(0.5), 2)
		defer f.Stop()
		f.Start()
		wait := f.Load(f.S.Lines, 8*time.Second)
		for i := range 6 {
			Wait(time.Second)
			f.KillWorker(f.Nodes[i])
			Wait(200 * time.Millisecond)
			f.StartWorker(f.Nodes[i], f.S.Serves(i))
		}
		wait()
		f.Judge()
		if n := f.Obs.Counts(); n["unknown"] == 0 {
			t.Errorf("no job was under way at a killed worker: the test shows nothing: %v", n)
		}
	})
}
