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
func (s *site) day(long time.Duration, holds func()) map[string]int {
	s.up()
	Wait(8 * time.Second)
	s.traffic.Store(true)
	ctx, end := context.WithCancel(context.Background())
	over := make(chan struct{})
	s.g.Go("apps", func(context.Context) { s.apps.Run(ctx); close(over) })
	from := time.Now()
	holds()
	Wait(long - time.Since(from))
	s.traffic.Store(false)
	end()
	<-over
	s.op.Read(context.Background(), 5*time.Second, true)
	s.apps.Finish(context.Background())
	// What is under way ends.
	Wait(s.d.longest())
	s.close()
	bad, notes := s.wit.Verdict()
	for _, n := range notes {
		s.T.Log(n)
	}
	s.T.Log(s.wit.Tally())
	done, worst := s.apps.Done()
	s.T.Log(done, worst)
	return bad
}

func (d deployment) longest() (out time.Duration) {
	for _, l := range d.lines {
		out = max(out, l.Left)
	}
	return out + time.Second
}

// TestQuietDay: nothing happens, nothing breaks, and nearly all is served.
func TestQuietDay(t *testing.T) {
	heavy(t)
	for name, d := range map[string]deployment{"reader": reader(1, 0.12), "desks": desks(1, 0.12)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, d, 1)
				if bad := s.day(20*time.Second, func() {}); len(bad) > 0 {
					t.Errorf("broken: %v", bad)
				}
				if served, owed := s.wit.Served("", time.Time{}, time.Now()); owed < 500 || served < owed*97/100 {
					t.Errorf("%d of %d served", served, owed)
				}
			})
		})
	}
}
