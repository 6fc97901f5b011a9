package sim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// runDay simulates one day of a site and returns the violations by rule. The site
// starts, load and applications begin after eight seconds, then inject runs, and at
// the end everything is read back.
func (s *site) runDay(duration time.Duration, inject func()) map[string]int {
	s.up()
	Wait(8 * time.Second)
	s.traffic.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	s.g.Go("apps", func(context.Context) { s.apps.Run(ctx); close(finished) })
	start := time.Now()
	inject()
	Wait(duration - time.Since(start))
	s.traffic.Store(false)
	cancel()
	<-finished
	s.op.ReadBack(context.Background(), 5*time.Second, true)
	s.apps.Finish(context.Background())
	// Let requests in flight end.
	Wait(s.deployment.longestTimeout())
	s.close()
	violations, notes := s.recorder.Breaches()
	for _, n := range notes {
		s.T.Log(n)
	}
	s.T.Log(s.recorder.Outcomes())
	done, worst := s.apps.Done()
	s.T.Log(done, worst)
	return violations
}

func (d deployment) longestTimeout() (longest time.Duration) {
	for _, l := range d.lines {
		longest = max(longest, l.Timeout)
	}
	return longest + time.Second
}

// TestQuietDay checks that without faults no rule is violated and at least 97 in 100
// requests are served.
func TestQuietDay(t *testing.T) {
	skipUnderRace(t)
	for name, d := range map[string]deployment{"reader": readerDeployment(1, 0.12), "desks": bookingDeployment(1, 0.12)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				testSite := newSite(t, d, 1)
				if violations := testSite.runDay(20*time.Second, func() {}); len(violations) > 0 {
					t.Errorf("violated rules: %v", violations)
				}
				if served, owed := testSite.recorder.Served("", time.Time{}, time.Now()); owed < 500 || served < owed*97/100 {
					t.Errorf("%d of %d requests were served", served, owed)
				}
			})
		})
	}
}
