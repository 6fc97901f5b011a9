package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/settings"
	"puffincrank/internal/shutdown"
)

// TestHedgeBeforeEnd checks when a second attempt starts beside a run that its node will end:
// with one and a half times the usual run time left; with three times left once the run has
// lasted twice the usual time; and at once if the usual time is unknown.
func TestHedgeBeforeEnd(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name        string
		usual       time.Duration
		begun, ends time.Duration // from now
		want        time.Duration
	}{
		{"just started, short runs", 300 * time.Millisecond, 0, 5 * time.Second, 4100 * time.Millisecond},
		{"overdue, short runs", 300 * time.Millisecond, -time.Second, 5 * time.Second, 4100 * time.Millisecond},
		{"just started, long runs", 1500 * time.Millisecond, 0, 5 * time.Second, 2750 * time.Millisecond},
		{"nearly overdue, long runs", 1500 * time.Millisecond, -1800 * time.Millisecond, 5200 * time.Millisecond, 1200 * time.Millisecond},
		{"long overdue, long runs", 1500 * time.Millisecond, -4 * time.Second, 5 * time.Second, 500 * time.Millisecond},
		{"usual run longer than the rest", 4 * time.Second, -time.Second, 5 * time.Second, -time.Second},
		{"usual run time unknown", 0, -time.Second, 5 * time.Second, -time.Second},
	} {
		if got := hedgeBeforeEnd(now.Add(c.begun), now.Add(c.ends), c.usual).Sub(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// newHedgeFixture returns an ingress that knows three workers of a service, and a request about
// to be sent to one of them.
func newHedgeFixture() (*Proxy, *request) {
	x := &Proxy{Settings: settings.Settings{GracePeriod: 6 * time.Second, ConfigBound: 2 * time.Second}}
	x.ingressAttempts.byID = map[string]*ingressAttempt{}
	x.balancer = balancer.New("a", time.Second, 10*time.Second, func(string, bool) {})
	return x, &request{route: &rules.Route{Name: "p"}, arm: &rules.Arm{Repeatable: true, MaxAttempts: 2}, service: "s", tried: map[string]bool{"w": true}, attempts: 1, workerCount: 3, deadline: time.Now().Add(time.Second)}
}

// simulateRun records a run of the route at a worker, as the ingress sees it.
func simulateRun(x *Proxy, took time.Duration) {
	x.balancer.RecordOutcome(balancer.Outcome{Worker: "w", Service: "s", Route: "p", RoundTrip: took, RunTime: took, OK: true, AboutWorker: true})
}

// TestHedgeable checks that only a repeatable request with another worker and an attempt left
// is hedged: after six tenths of its time if such requests usually finish within the rest, and
// in a shutdown of the ingress already after one and a half times the usual run time, if there
// is time for a second run.
func TestHedgeable(t *testing.T) {
	const never = 0
	for _, c := range []struct {
		name string
		do   func(*Proxy, *request)
		want time.Duration // after the start of the first attempt; never: not hedged
	}{
		{"plain repeatable request", func(*Proxy, *request) {}, 600 * time.Millisecond},
		{"the only worker", func(_ *Proxy, req *request) { req.workerCount = 1 }, never},
		{"all other workers were tried", func(_ *Proxy, req *request) { req.tried["v"], req.tried["u"] = true, true }, never},
		{"no attempt is left", func(_ *Proxy, req *request) { req.reached = 1 }, never},
		{"not repeatable", func(_ *Proxy, req *request) { req.arm.Repeatable = false }, never},
		{"bulk route", func(_ *Proxy, req *request) { req.arm.Bulk = "download" }, never},
		{"usual run time equals the rest", func(x *Proxy, _ *request) { simulateRun(x, 400*time.Millisecond) }, 600 * time.Millisecond},
		{"usual run time exceeds the rest", func(x *Proxy, _ *request) { simulateRun(x, 410*time.Millisecond) }, never},
		{"ingress stopping, enough time", func(x *Proxy, _ *request) {
			simulateRun(x, 100*time.Millisecond)
			x.stopSchedule.Store(shutdown.Begin(1300*time.Millisecond, 0))
		}, 150 * time.Millisecond},
		{"ingress stopping, no time for a second run", func(x *Proxy, _ *request) {
			simulateRun(x, 300*time.Millisecond)
			x.stopSchedule.Store(shutdown.Begin(600*time.Millisecond, 0))
		}, 600 * time.Millisecond},
		{"ingress stopping, already a hedge", func(x *Proxy, req *request) {
			simulateRun(x, 100*time.Millisecond)
			x.stopSchedule.Store(shutdown.Begin(1300*time.Millisecond, 0))
			req.isHedge = true
		}, 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, req := newHedgeFixture()
				c.do(x, req)
				a, ctx := x.beginAttempt(t.Context(), req, "1")
				if a == nil {
					if c.want != never {
						t.Error("the request can't be hedged")
					}
					return
				}
				defer a.close("1")
				if a.hedgeTime.IsZero() && c.want == never {
					return
				}
				if got := time.Until(a.hedgeTime); got.Round(time.Millisecond) != c.want {
					t.Errorf("hedge due after %v, want %v", got, c.want)
				}
				if ctx.Err() != nil {
					t.Error("the first attempt was canceled")
				}
			})
		})
	}
}

// TestHedgeEarliestEnd checks that the earliest of several announced ends of a run counts, and
// that announcements after the attempt is over are ignored.
func TestHedgeEarliestEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, req := newHedgeFixture()
		req.deadline = time.Now().Add(time.Minute)
		simulateRun(x, 100*time.Millisecond)
		a, _ := x.beginAttempt(context.Background(), req, "1")
		start := time.Now()
		for _, delay := range []time.Duration{10 * time.Second, 5 * time.Second, 20 * time.Second} {
			a.onRunEnd(start.Add(delay))
		}
		if got := a.hedgeTime.Sub(start); got != 5*time.Second-300*time.Millisecond {
			t.Errorf("hedge due after %v, want 4.7s", got)
		}
		a.close("1")
		due := a.hedgeTime
		a.onRunEnd(start.Add(time.Second))
		if a.hedgeTime != due || len(x.ingressAttempts.byID) != 0 {
			t.Error("an attempt that is over was hedged")
		}
	})
}

// TestMerge checks that the better response of a first and a second attempt is given, and that
// what may have run is never reported as not run.
func TestMerge(t *testing.T) {
	done := func(status int) protocol.AttemptResult {
		return protocol.AttemptResult{Outcome: protocol.Done, Status: status}
	}
	refused, unknown := protocol.AttemptResult{Outcome: protocol.Refused}, protocol.AttemptResult{Outcome: protocol.Unknown}
	for _, c := range []struct {
		name          string
		first, second protocol.AttemptResult
		lost          bool // the second may have run without a response
		want          protocol.AttemptResult
	}{
		{"only the second has a response", unknown, done(200), false, done(200)},
		{"the second has a better response", done(500), done(200), false, done(200)},
		{"the second has a worse response", done(404), done(500), false, done(404)},
		{"neither has a response", unknown, refused, false, unknown},
		{"the first never ran, the second was lost", refused, unknown, true, refused},
	} {
		first, second := &request{tried: map[string]bool{"v": true}, reached: 1, attempts: 1, result: c.first}, &request{tried: map[string]bool{"w": true}, reached: 2, attempts: 3, result: c.second}
		if c.lost {
			second.lost = &lostAttempt{AttemptResult: c.second}
		}
		first.mergeHedge(second)
		if first.result.Outcome != c.want.Outcome || first.result.Status != c.want.Status || (first.lost != nil) != c.lost {
			t.Errorf("%s: %+v, lost %v", c.name, first.result, first.lost)
		}
		if first.reached != 2 || first.attempts != 3 || len(first.tried) != 2 {
			t.Errorf("%s: reached %d, %d attempts, tried %v", c.name, first.reached, first.attempts, first.tried)
		}
	}
}
