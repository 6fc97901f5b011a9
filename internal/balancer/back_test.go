package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestProbes: of jobs that may be sent again a worker that its owner doubts gets
// a tenth of an even part, and thrice as many when the doubts are small; not one
// that is merely cold. Other jobs look at none.
func TestProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			doubts, cold string
			safe         bool
			least, most  float64
		}{{"2", "", true, 0.06, 0.13}, {"1", "", true, 0.21, 0.36}, {"1", "1", true, 0.06, 0.13}, {"1", "", false, 0, 0.02}} {
			n := New("a", time.Second, window, nil)
			var all []string
			list := trio()
			for _, name := range []string{"four", "five", "six", "seven", "eight"} {
				list = append(list, entry(name, "a"))
			}
			list[0].Meta["doubts"], list[0].Meta["cold"] = c.doubts, c.cold
			for range 16000 {
				e, _ := n.Pick(list, PickRequest{Route: "p", Repeatable: c.safe})
				all = append(all, e.Worker)
				n.RecordOutcome(Outcome{Worker: e.Worker, Service: "s", Route: "p", UsedSlots: -1, RoundTrip: 100 * time.Millisecond, RunTime: 100 * time.Millisecond, OK: true, AboutWorker: true})
			}
			got := 0
			for _, w := range all {
				if w == "one" {
					got++
				}
			}
			if part := float64(got*len(list)) / float64(len(all)); part < c.least || part > c.most {
				t.Errorf("%+v: %.3f of an even part", c, part)
			}
		}
	})
}

// TestWell: a worker that failed all its jobs, one of 36 that get 14 a second
// each, is let back when its probes showed that it is well: some seconds after
// on average, over sixteen fields.
func TestWell(t *testing.T) {
	const fields = 16
	sum, sick := 0.0, 0.0
	for seed := range uint64(fields) {
		synctest.Test(t, func(t *testing.T) {
			f := newField(36, 36, 3, seed)
			f.work, f.aim, f.rate = 100*time.Millisecond, 600*time.Millisecond, 500
			h := f.hands[0]
			h.ill = func(now time.Duration) (string, float64) {
				if now < 4*time.Second || now > 10*time.Second {
					return "", 0
				}
				return "errors", 1
			}
			f.play(10 * time.Second)
			sick += f.part(5, 10, func(o *hand) bool { return o == h }) / fields
			for h.told > 0 && f.second() < 40 {
				f.play(window / 100)
			}
			sum += (time.Since(f.started) - window).Seconds() / fields
		})
	}
	t.Logf("of an even part %.2f while ill, let back after %.1f s", sick, sum)
	if sick > 0.2 || sum > 8 {
		t.Error("it is not let back by what its probes show")
	}
}
