package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestHold: what is held counts at once, is given back when the run ends, and
// calls of repeated runs count as repeats and not as first sends.
func TestHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10 * time.Second)
		b.SetLimits(0.2, 0)
		b.SetProxyCount(1)
		<-time.After(10 * time.Second)
		for range 100 {
			b.RecordFirst("s")
		}
		// 18 have room; two deviations are kept back once any is held.
		want := map[string]float64{"s": 1}
		held := 0
		for {
			if _, ok := b.ReserveNested(want, false); !ok {
				break
			}
			held++
		}
		if held < 8 || held > 18 {
			t.Fatalf("%d were held", held)
		}
		if b.Allow("s") {
			t.Fatal("a repeat had room that is held")
		}
		if lacks, ok := b.ReserveNested(map[string]float64{"other": 1, "s": 1}, false); ok || lacks == "" {
			t.Fatal("held without room")
		}
		// One that must run holds its room before others.
		if _, ok := b.ReserveNested(want, true); !ok {
			t.Fatal("one that must be held was not")
		}
		b.ReleaseNested(want)
		for range held {
			b.ReleaseNested(want)
		}
		if !b.Allow("s") {
			t.Fatal("what was held is not given back")
		}
		for range 40 {
			b.RecordNestedCall("s", 0.5)
		}
		if one, two := b.Counts("s"); one != 120 || two != 21 {
			t.Fatalf("%d first and %d second sends", one, two)
		}
		if b.Allow("s") {
			t.Fatal("calls of repeated runs took no room")
		}
		<-time.After(11 * time.Second)
		if one, two := b.Counts("s"); one != 0 || two != 0 {
			t.Fatalf("%d and %d after the window", one, two)
		}
	})
}
