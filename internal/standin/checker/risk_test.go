package checker

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRiskCountsDrain checks that DRAIN is at risk if a worker has traffic until it leaves,
// however fast the nodes react to its notice, and not if it was idle before.
func TestRiskCountsDrain(t *testing.T) {
	for _, c := range []struct {
		name  string
		idle  time.Duration // from its last request to its leave notice
		after bool          // another request arrives after the notice
		want  int
	}{
		{"busy until it leaves", time.Second, false, 1},
		{"busy beyond its leave notice", time.Second, true, 2},
		{"idle before it leaves", UsualBounds.Leave + time.Second, false, 0},
		{"idle, and one request after its leave notice", UsualBounds.Leave + time.Second, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testRun := newRun()
				testRun.exec(testRun.try(), testRun.w1)
				testRun.exec(testRun.try(), testRun.w2)
				wait(c.idle)
				testRun.LeaveSent(testRun.w1)
				testRun.LeaveAcked(testRun.w1, "m1")
				if c.after {
					wait(100 * time.Millisecond)
					testRun.exec(testRun.try(), testRun.w1)
				}
				if got := testRun.Exposure()[Drain]; got != c.want {
					t.Errorf("at risk %d times, want %d", got, c.want)
				}
			})
		})
	}
}
