package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// TestIdleConnectionsForgotten: workers forget connections that idled a while, without a word.
// Jobs that may not be sent again get hurt by the first few only; when the
// workers keep them again, connections are kept as long as before.
func TestIdleConnectionsForgotten(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		chosen := deploy(12, 12, 12, time.Millisecond, time.Millisecond, []string{"top"}, []int{12}, []row{
			{kind: "buy", repeat: "never", service: "top", rate: 360, work: 100, aim: 600, left: 2000, back: 200, method: "POST"},
		}, 1)
		simulated := newSite(t, chosen, 12)
		served, owed := 0, 0
		var start time.Time
		violations := simulated.day(40*time.Second, func() {
			Wait(10 * time.Second)
			start = time.Now()
			for _, m := range simulated.all() {
				if m.n%2 == 0 {
					m.w.Fall(actors.Ills{Forget: 190 * time.Millisecond})
				}
			}
			Wait(8 * time.Second)
			for _, m := range simulated.all() {
				m.w.Fall(actors.Ills{})
			}
		})
		served, owed = simulated.wit.Served("buy", start, start.Add(8*time.Second))
		t.Logf("%d of %d served while half of the workers forget", served, owed)
		if len(violations) > 0 || violations[checker.Budget] > 0 {
			t.Errorf("broken: %v", violations)
		}
		if lost := owed - served; lost*200 > owed {
			t.Errorf("%d of %d were lost", lost, owed)
		}
	})
}
