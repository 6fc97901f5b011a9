package sim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/stand/play"
	"puffincrank/internal/stand/witness"
)

// TestLateBeatAfterSignOff: a worker signs off, and a beat that it sent before
// comes only after the bound on leaving. The worker serves on, and gets nothing.
func TestLateBeatAfterSignOff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, reader(1, 0.12), 1)
		bad := s.day(10*time.Second, func() {
			Wait(time.Second)
			m := s.machines[0]
			m.w.LeaveBy(context.Background(), play.Manner{SignsOff: true, Late: 2100 * time.Millisecond, More: 3 * time.Second})
		})
		if len(bad) > 0 {
			t.Errorf("broken: %v", bad)
		}
		if s.wit.Risk()[witness.Drain] == 0 {
			t.Error("the worker had no traffic before it left: the test shows nothing")
		}
	})
}

// TestCallersLeave: half of the callers leave before their answers, at the front
// beside the worker as at any other. No run that may be repeated goes on half a
// second later, and nothing reaches a worker for them after that.
func TestCallersLeave(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, desks(1, 0.3), 1)
		bad := s.day(10*time.Second, func() {
			for _, m := range s.machines {
				m.c.Quit = 0.5
			}
		})
		if len(bad) > 0 {
			t.Errorf("broken: %v", bad)
		}
		if n := s.wit.Risk()[witness.Gone]; n < 20 {
			t.Errorf("%d callers left while their runs were under way: the test shows nothing", n)
		}
	})
}
