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

// TestHedgeBeforeEnd: a second attempt begins when what is left of a run's time is one and a
// half times what such requests usually take; once the run has lasted twice that, when
// three times is left; and at once when nobody knows how long they take.
func TestHedgeBeforeEnd(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name        string
		usual       time.Duration
		begun, ends time.Duration // from now
		want        time.Duration
	}{
		{"begun just now, short ones", 300 * time.Millisecond, 0, 5 * time.Second, 4100 * time.Millisecond},
		{"overdue, short ones", 300 * time.Millisecond, -time.Second, 5 * time.Second, 4100 * time.Millisecond},
		{"begun just now, long ones", 1500 * time.Millisecond, 0, 5 * time.Second, 2750 * time.Millisecond},
		{"overdue soon, long ones", 1500 * time.Millisecond, -1800 * time.Millisecond, 5200 * time.Millisecond, 1200 * time.Millisecond},
		{"overdue long since, long ones", 1500 * time.Millisecond, -4 * time.Second, 5 * time.Second, 500 * time.Millisecond},
		{"longer than what is left", 4 * time.Second, -time.Second, 5 * time.Second, -time.Second},
		{"nobody knows", 0, -time.Second, 5 * time.Second, -time.Second},
	} {
		if got := hedgeBeforeEnd(now.Add(c.begun), now.Add(c.ends), c.usual).Sub(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// hedgeProxy is a front that knows of three workers of a service, and a request that is
// about to be sent to one of them.
func hedgeProxy() (*Proxy, *job) {
	x := &Proxy{Settings: settings.Settings{GracePeriod: 6 * time.Second, ConfigBound: 2 * time.Second}}
	x.attempts.by = map[string]*attempt{}
	x.pick = balancer.New("a", time.Second, 10*time.Second, func(string, bool) {})
	return x, &job{path: &rules.Route{Name: "p"}, arm: &rules.Arm{Repeatable: true, MaxAttempts: 2}, service: "s", tried: map[string]bool{"w": true}, sends: 1, known: 3, end: time.Now().Add(time.Second)}
}

// ran has a worker run a job of the path in a time, as a front sees it.
func ran(x *Proxy, took time.Duration) {
	x.pick.RecordOutcome(balancer.Outcome{Worker: "w", Service: "s", Route: "p", RoundTrip: took, RunTime: took, OK: true, AboutWorker: true})
}

// TestHedgeable: a second attempt may follow a first one only for what may be repeated,
// with another worker and a try left. It follows when six tenths of the time are over,
// if such requests usually end in the rest; and earlier in a stop of the front, once the
// first has taken one and a half times the usual time and there is time for another.
func TestHedgeable(t *testing.T) {
	const never = 0
	for _, c := range []struct {
		name string
		do   func(*Proxy, *job)
		want time.Duration // from the first attempt's begin; never: no second one
	}{
		{"as usual", func(*Proxy, *job) {}, 600 * time.Millisecond},
		{"the only worker", func(_ *Proxy, j *job) { j.known = 1 }, never},
		{"all others were tried", func(_ *Proxy, j *job) { j.tried["v"], j.tried["u"] = true, true }, never},
		{"no try is left", func(_ *Proxy, j *job) { j.came = 1 }, never},
		{"it may run once", func(_ *Proxy, j *job) { j.arm.Repeatable = false }, never},
		{"large bodies", func(_ *Proxy, j *job) { j.arm.Bulk = "download" }, never},
		{"its like take up to the rest", func(x *Proxy, _ *job) { ran(x, 400*time.Millisecond) }, 600 * time.Millisecond},
		{"its like take longer", func(x *Proxy, _ *job) { ran(x, 410*time.Millisecond) }, never},
		{"told to end, with time enough", func(x *Proxy, _ *job) {
			ran(x, 100*time.Millisecond)
			x.stop.Store(shutdown.Begin(1300*time.Millisecond, 0))
		}, 150 * time.Millisecond},
		{"told to end, with no time for another one", func(x *Proxy, _ *job) {
			ran(x, 300*time.Millisecond)
			x.stop.Store(shutdown.Begin(600*time.Millisecond, 0))
		}, 600 * time.Millisecond},
		{"told to end, a second attempt itself", func(x *Proxy, j *job) {
			ran(x, 100*time.Millisecond)
			x.stop.Store(shutdown.Begin(1300*time.Millisecond, 0))
			j.hedged = true
		}, 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, j := hedgeProxy()
				c.do(x, j)
				a, ctx := x.beginAttempt(t.Context(), j, "1")
				if a == nil {
					if c.want != never {
						t.Error("no second attempt may follow")
					}
					return
				}
				defer a.close("1")
				if a.due.IsZero() && c.want == never {
					return
				}
				if got := time.Until(a.due); got.Round(time.Millisecond) != c.want {
					t.Errorf("due after %v, want %v", got, c.want)
				}
				if ctx.Err() != nil {
					t.Error("the first attempt is ended")
				}
			})
		})
	}
}

// TestHedgeSoonest: of several ends of a run the soonest counts, and none that is said
// when the attempt is over.
func TestHedgeSoonest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, j := hedgeProxy()
		j.end = time.Now().Add(time.Minute)
		ran(x, 100*time.Millisecond)
		a, _ := x.beginAttempt(context.Background(), j, "1")
		from := time.Now()
		for _, in := range []time.Duration{10 * time.Second, 5 * time.Second, 20 * time.Second} {
			a.endsAt(from.Add(in))
		}
		if got := a.due.Sub(from); got != 5*time.Second-300*time.Millisecond {
			t.Errorf("due after %v", got)
		}
		a.close("1")
		due := a.due
		a.endsAt(from.Add(time.Second))
		if a.due != due || len(x.attempts.by) != 0 {
			t.Error("an attempt that is over is hedged")
		}
	})
}

// TestMerge: of a first and a second attempt the better answer is given, and whatever
// may have run is never told to be unrun.
func TestMerge(t *testing.T) {
	done := func(status int) protocol.AttemptResult {
		return protocol.AttemptResult{Outcome: protocol.Done, Status: status}
	}
	refused, unknown := protocol.AttemptResult{Outcome: protocol.Refused}, protocol.AttemptResult{Outcome: protocol.Unknown}
	for _, c := range []struct {
		name          string
		first, second protocol.AttemptResult
		lost          bool // the second may have run without an answer
		want          protocol.AttemptResult
	}{
		{"the second has an answer", unknown, done(200), false, done(200)},
		{"the second has a better answer", done(500), done(200), false, done(200)},
		{"the second has a worse answer", done(404), done(500), false, done(404)},
		{"neither has one", unknown, refused, false, unknown},
		{"the first never ran, the second was lost", refused, unknown, true, refused},
	} {
		first, second := &job{tried: map[string]bool{"v": true}, came: 1, sends: 1, back: c.first}, &job{tried: map[string]bool{"w": true}, came: 2, sends: 3, back: c.second}
		if c.lost {
			second.lost = &lostAttempt{AttemptResult: c.second}
		}
		first.merge(second)
		if first.back.Outcome != c.want.Outcome || first.back.Status != c.want.Status || (first.lost != nil) != c.lost {
			t.Errorf("%s: %+v, lost %v", c.name, first.back, first.lost)
		}
		if first.came != 2 || first.sends != 3 || len(first.tried) != 2 {
			t.Errorf("%s: %d came, %d sends, %v", c.name, first.came, first.sends, first.tried)
		}
	}
}
