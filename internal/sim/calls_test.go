package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// TestCallsOfRepeats: jobs that are repeated call another service, whose own
// answers get lost too. Its repeats and the calls of repeated jobs stay within
// the bound together, and some of both are had.
func TestCallsOfRepeats(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		d := deploy(9, 8, 12, time.Millisecond, time.Millisecond, []string{"top", "base"}, []int{4, 4}, []row{
			{kind: "view", repeat: "safe", service: "top", rate: 160, work: 40, aim: 300, left: 1500, back: 200, method: "GET", calls: map[string]float64{"part": 0.9}},
			{kind: "plain", repeat: "safe", service: "base", rate: 60, work: 20, aim: 200, left: 900, back: 200, method: "GET"},
			{kind: "part", repeat: "safe", service: "base", work: 20, aim: 200, left: 600, back: 80, method: "GET"},
		}, 1)
		d.bounds.Allow = 8
		s := newSite(t, d, 9)
		given := 0
		bad := s.day(50*time.Second, func() {
			Wait(15 * time.Second)
			for _, m := range s.all() {
				m.w.Fall(actors.Ills{Lose: 0.4})
			}
			Wait(20 * time.Second)
			for _, m := range s.all() {
				m.w.Fall(actors.Ills{})
				if m.service == d.services[0] {
					given += int(m.Proxy.RetriesRequested())
				}
			}
		})
		part, of := s.wit.Most()
		t.Logf("repeats at most %.2f of what is allowed (%s), %d asked for beside the first service", part, of, given)
		if bad[checker.Budget] > 0 || part > 1 {
			t.Errorf("broken: %v", bad)
		}
		// The bound is used, not only kept.
		if part < 0.4 {
			t.Errorf("only %.2f of the repeats that are allowed were had", part)
		}
	})
}
