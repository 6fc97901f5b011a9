package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// TestIdleConnectionsForgotten has half of the workers silently forget connections that
// were idle for 190 ms, so that the next request on one is reset. Proxies must learn
// from the first few losses: at most 1 in 200 requests that must not be retried may be
// lost, and no rule may be violated, also after the workers keep connections again.
func TestIdleConnectionsForgotten(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		layout := deploy(12, 12, 12, time.Millisecond, time.Millisecond, []string{"top"}, []int{12}, []routeRow{
			{kind: "buy", repeat: "never", service: "top", rate: 360, work: 100, aim: 600, left: 2000, back: 200, method: "POST"},
		}, 1)
		testSite := newSite(t, layout, 12)
		served, owed := 0, 0
		var start time.Time
		violations := testSite.runDay(40*time.Second, func() {
			Wait(10 * time.Second)
			start = time.Now()
			for _, m := range testSite.all() {
				if m.number%2 == 0 {
					m.worker.SetFaults(actors.Faults{Forget: 190 * time.Millisecond})
				}
			}
			Wait(8 * time.Second)
			for _, m := range testSite.all() {
				m.worker.SetFaults(actors.Faults{})
			}
		})
		served, owed = testSite.recorder.Served("buy", start, start.Add(8*time.Second))
		t.Logf("%d of %d requests served while half of the workers forget idle connections", served, owed)
		if len(violations) > 0 || violations[checker.Budget] > 0 {
			t.Errorf("violated rules: %v", violations)
		}
		if lost := owed - served; lost*200 > owed {
			t.Errorf("%d of %d requests were lost", lost, owed)
		}
	})
}
