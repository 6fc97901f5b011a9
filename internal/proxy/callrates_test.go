package proxy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestCallsMeasured: of two paths that always overlap, one calls a service in
// most of its runs, one seldom and one never; what is measured comes close to
// each, and the parts of the calls that repeats made add up to those that they
// did make.
func TestCallsMeasured(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 9))
	c := newCallRates()
	c.markNested("inner")
	truth := map[string]float64{"often": 0.9, "seldom": 0.1, "never": 0}
	names := []string{"often", "seldom", "never"}
	type run struct {
		path string
		part float64
		left int
	}
	var under []run
	said, made := 0.0, 0.0
	for range 60000 {
		if len(under) < 8 {
			r := run{path: names[rnd.IntN(3)], left: 1 + rnd.IntN(12)}
			if rnd.IntN(6) == 0 {
				r.part = 1
			}
			c.beginRun(r.path, r.part)
			under = append(under, r)
		}
		i := rnd.IntN(len(under))
		if under[i].left--; under[i].left == 0 {
			if rnd.Float64() < truth[under[i].path] {
				said += c.recordCall("inner", "s")
				made += under[i].part
			}
			c.endRun(under[i].path, under[i].part, true)
			under = append(under[:i], under[i+1:]...)
		}
	}
	for p, want := range truth {
		if got := c.expected(p, 1)["s"]; math.Abs(got-want) > 0.12 {
			t.Errorf("%s: %.2f calls a run, want %.2f", p, got, want)
		}
	}
	if said < made*0.9 || said > made*1.1 {
		t.Errorf("%.0f calls of repeats counted, %.0f made", said, made)
	}
	if c.recordCall("other", "s") != 0 {
		t.Error("a path that isn't called from within counts")
	}
}

// TestDeclinedCallsNothing: a run that the worker declined doesn't lower what
// its path is known to call.
func TestDeclinedCallsNothing(t *testing.T) {
	c := newCallRates()
	c.markNested("inner")
	for range 100 {
		c.beginRun("p", 0)
		c.recordCall("inner", "s")
		c.endRun("p", 0, true)
		c.beginRun("p", 0)
		c.endRun("p", 0, false)
	}
	if got := c.expected("p", 1)["s"]; got < 0.98 {
		t.Errorf("%.2f calls a run, want 1", got)
	}
	if got := c.expected("p", 0.5)["s"]; got > 0.51 {
		t.Errorf("%.2f calls of half a repeat", got)
	}
}
