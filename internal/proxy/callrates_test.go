package proxy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestCallRates overlaps runs of routes of which one calls a service in most of its runs, one
// rarely and one never. The measured rates must come close to the real ones, and the retry
// shares must add up to the calls that retried runs really made.
func TestCallRates(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 9))
	rates := newCallRates()
	rates.markNested("inner")
	truth := map[string]float64{"often": 0.9, "seldom": 0.1, "never": 0}
	names := []string{"often", "seldom", "never"}
	type run struct {
		path       string
		retryShare float64
		remaining  int
	}
	var active []run
	counted, made := 0.0, 0.0
	for range 60000 {
		if len(active) < 8 {
			r := run{path: names[rnd.IntN(3)], remaining: 1 + rnd.IntN(12)}
			if rnd.IntN(6) == 0 {
				r.retryShare = 1
			}
			rates.beginRun(r.path, r.retryShare)
			active = append(active, r)
		}
		i := rnd.IntN(len(active))
		if active[i].remaining--; active[i].remaining == 0 {
			if rnd.Float64() < truth[active[i].path] {
				counted += rates.recordCall("inner", "s")
				made += active[i].retryShare
			}
			rates.endRun(active[i].path, active[i].retryShare, true)
			active = append(active[:i], active[i+1:]...)
		}
	}
	for p, want := range truth {
		if got := rates.expected(p, 1)["s"]; math.Abs(got-want) > 0.12 {
			t.Errorf("%s: %.2f calls per run, want %.2f", p, got, want)
		}
	}
	if counted < made*0.9 || counted > made*1.1 {
		t.Errorf("%.0f calls of retries counted, %.0f made", counted, made)
	}
	if rates.recordCall("other", "s") != 0 {
		t.Error("a route that is not nested was counted")
	}
}

// TestDeclinedRunsNotCounted checks that a run that the worker declined does not lower the
// measured call rate of its route.
func TestDeclinedRunsNotCounted(t *testing.T) {
	rates := newCallRates()
	rates.markNested("inner")
	for range 100 {
		rates.beginRun("p", 0)
		rates.recordCall("inner", "s")
		rates.endRun("p", 0, true)
		rates.beginRun("p", 0)
		rates.endRun("p", 0, false)
	}
	if got := rates.expected("p", 1)["s"]; got < 0.98 {
		t.Errorf("%.2f calls per run, want 1", got)
	}
	if got := rates.expected("p", 0.5)["s"]; got > 0.51 {
		t.Errorf("%.2f calls for a retry share of one half, want 0.5 at most", got)
	}
}
