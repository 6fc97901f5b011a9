package checker

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRiskOfLeaving: a worker that has traffic until it leaves puts DRAIN at risk,
// however quick those are who hear of it; one without traffic does not.
func TestRiskOfLeaving(t *testing.T) {
	for _, c := range []struct {
		name  string
		quiet time.Duration // from the last job there to its word
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
				d := newDay()
				d.run(d.ask(), d.k)
				d.run(d.ask(), d.l)
				pass(c.quiet)
				d.Leaves(d.k)
				d.LeaveTaken(d.k, "m1")
				if c.after {
					pass(100 * time.Millisecond)
					d.run(d.ask(), d.k)
				}
				if got := d.Risk()[Drain]; got != c.want {
					t.Errorf("at risk %d times, want %d", got, c.want)
				}
			})
		})
	}
}
