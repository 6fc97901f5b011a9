package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// TestForgotten: workers forget connections that idled a while, without a word.
// Jobs that may not be sent again get hurt by the first few only; when the
// workers keep them again, connections are kept as long as before.
func TestForgotten(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		d := deploy(12, 12, 12, time.Millisecond, time.Millisecond, []string{"top"}, []int{12}, []row{
			{kind: "buy", repeat: "never", service: "top", rate: 360, work: 100, aim: 600, left: 2000, back: 200, method: "POST"},
		}, 1)
		s := newSite(t, d, 12)
		served, owed := 0, 0
		var from time.Time
		bad := s.day(40*time.Second, func() {
			Wait(10 * time.Second)
			from = time.Now()
			for _, m := range s.all() {
				if m.n%2 == 0 {
					m.w.Fall(actors.Ills{Forget: 190 * time.Millisecond})
				}
			}
			Wait(8 * time.Second)
			for _, m := range s.all() {
				m.w.Fall(actors.Ills{})
			}
		})
		served, owed = s.wit.Served("buy", from, from.Add(8*time.Second))
		t.Logf("%d of %d served while half of the workers forget", served, owed)
		if len(bad) > 0 || bad[checker.Budget] > 0 {
			t.Errorf("broken: %v", bad)
		}
		if lost := owed - served; lost*200 > owed {
			t.Errorf("%d of %d were lost", lost, owed)
		}
	})
}
