package checker

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRiskCountsDrain: a worker that has traffic until it leaves puts DRAIN at risk,
// however quick those are who hear of it; one without traffic does not.
func TestRiskCountsDrain(t *testing.T) {
	for _, c := range []struct {
		name  string
		idle  time.Duration // from the last job there to its word
		after bool          // one more comes after it
		want  int
	}{
		{"at work until it leaves", time.Second, false, 1},
		{"and beyond its word", time.Second, true, 2},
		{"idle before it leaves", Usual.Leave + time.Second, false, 0},
		{"idle, and one after it", Usual.Leave + time.Second, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRun()
				r.exec(r.try(), r.w1)
				r.exec(r.try(), r.w2)
				wait(c.idle)
				r.LeaveSent(r.w1)
				r.LeaveAcked(r.w1, "m1")
				if c.after {
					wait(100 * time.Millisecond)
					r.exec(r.try(), r.w1)
				}
				if got := r.Risk()[Drain]; got != c.want {
					t.Errorf("at risk %d times, want %d", got, c.want)
				}
			})
		})
	}
}
