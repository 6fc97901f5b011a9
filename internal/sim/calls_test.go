package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// TestNestedCallsOfRetries checks the retry budget when retried requests call another
// service whose responses get lost too. The retries of that service and the calls made by
// retried requests together stay within the budget, and both occur.
func TestNestedCallsOfRetries(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		deployed := deploy(9, 8, 12, time.Millisecond, time.Millisecond, []string{"top", "base"}, []int{4, 4}, []routeRow{
			{kind: "view", repeat: "safe", service: "top", rate: 160, work: 40, aim: 300, left: 1500, back: 200, method: "GET", calls: map[string]float64{"part": 0.9}},
			{kind: "plain", repeat: "safe", service: "base", rate: 60, work: 20, aim: 200, left: 900, back: 200, method: "GET"},
			{kind: "part", repeat: "safe", service: "base", work: 20, aim: 200, left: 600, back: 80, method: "GET"},
		}, 1)
		deployed.bounds.RetryAllowance = 8
		running := newSite(t, deployed, 9)
		requested := 0
		violations := running.runDay(50*time.Second, func() {
			Wait(15 * time.Second)
			for _, m := range running.all() {
				m.worker.SetFaults(actors.Faults{Lose: 0.4})
			}
			Wait(20 * time.Second)
			for _, m := range running.all() {
				m.worker.SetFaults(actors.Faults{})
				if m.service == deployed.services[0] {
					requested += int(m.Proxy.RetriesRequested())
				}
			}
		})
		used, scope := running.recorder.FullestRetryWindow()
		t.Logf("retries used at most %.2f of the budget (%s), %d requested by the proxies of the first service", used, scope, requested)
		if violations[checker.Budget] > 0 || used > 1 {
			t.Errorf("violated invariants: %v", violations)
		}
		// The retries must come close to the budget, not only stay within it.
		if used < 0.4 {
			t.Errorf("retries used only %.2f of the budget", used)
		}
	})
}
