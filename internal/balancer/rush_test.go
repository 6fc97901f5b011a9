package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRush: jobs that go on to another worker rather than wait, twice at the
// most, are late far less often while there are free slots somewhere; when there
// are none, they aren't carried about.
func TestRush(t *testing.T) {
	for _, c := range []struct {
		fronts, workers, areas int
		load                   float64
	}{{77, 29, 4, 0.6}, {77, 29, 4, 0.78}, {77, 29, 4, 1.1}, {105, 7, 3, 0.78}, {12, 4, 3, 0.78}} {
		bad := map[int]float64{}
		for _, rushes := range []int{0, 2} {
			synctest.Test(t, func(t *testing.T) {
				f := newField(c.fronts, c.workers, c.areas, 11)
				f.rushes, f.safe, f.aim = rushes, 0.7, 600*time.Millisecond
				sum := 0.0
				for i, h := range f.hands {
					h.speed = []float64{0.6, 1, 1.4}[i%3]
					sum += 1 / h.speed
				}
				f.rate = c.load * 12 * sum / f.work.Seconds()
				f.play(8 * time.Second)
				clear(f.counts)
				far, rushed := f.far, f.rushed
				// A few workers make few late jobs: they are counted for longer.
				long := 16 * time.Second
				if c.workers < 12 {
					long *= 3
				}
				f.play(long)
				f.overdue()
				all := float64(f.counts["all"])
				bad[rushes] = float64(f.counts["bad"]) / all
				more := float64(f.rushed-rushed) / all
				t.Logf("%v, rushes %d: late %.4f, sent to another area %.2f, hand-overs more %.2f", c, rushes, bad[rushes], float64(f.far-far)/all, more)
				if c.load > 1 && more > 0.1 {
					t.Error("carried about although nobody has room")
				}
			})
		}
		if c.load < 1 && bad[2] > 0.6*bad[0] && bad[2] > 0.002 {
			t.Errorf("%v: late %v", c, bad)
		}
	}
}
