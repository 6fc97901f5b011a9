package sim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// day plays one day of a site and gives the verdict: the site comes up, load
// and applications begin after eight seconds, then what the day holds happens,
// and at the end all is read back.
func (s *site) day(duration time.Duration, inject func()) map[string]int {
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
	s.op.Read(context.Background(), 5*time.Second, true)
	s.apps.Finish(context.Background())
	// What is under way ends.
	Wait(s.d.longestTimeout())
	s.close()
	violations, notes := s.wit.Verdict()
	for _, n := range notes {
		s.T.Log(n)
	}
	s.T.Log(s.wit.Tally())
	done, worst := s.apps.Done()
	s.T.Log(done, worst)
	return violations
}

func (d deployment) longestTimeout() (longest time.Duration) {
	for _, l := range d.lines {
		longest = max(longest, l.Left)
	}
	return longest + time.Second
}

// TestQuietDay: nothing happens, nothing breaks, and nearly all is served.
func TestQuietDay(t *testing.T) {
	heavy(t)
	for name, d := range map[string]deployment{"reader": reader(1, 0.12), "desks": desks(1, 0.12)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				simulated := newSite(t, d, 1)
				if violations := simulated.day(20*time.Second, func() {}); len(violations) > 0 {
					t.Errorf("broken: %v", violations)
				}
				if served, owed := simulated.wit.Served("", time.Time{}, time.Now()); owed < 500 || served < owed*97/100 {
					t.Errorf("%d of %d served", served, owed)
				}
			})
		})
	}
}
