package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNestedReservation: what is held counts at once, is given back when the run ends, and
// calls of repeated runs count as repeats and not as first sends.
func TestNestedReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10 * time.Second)
		budget.SetLimits(0.2, 0)
		budget.SetProxyCount(1)
		<-time.After(10 * time.Second)
		for range 100 {
			budget.RecordFirst("s")
		}
		// 18 have room; two deviations are kept back once any is held.
		calls := map[string]float64{"s": 1}
		reserved := 0
		for {
			if _, ok := budget.ReserveNested(calls, false); !ok {
				break
			}
			reserved++
		}
		if reserved < 8 || reserved > 18 {
			t.Fatalf("%d were held", reserved)
		}
		if budget.Allow("s") {
			t.Fatal("a repeat had room that is held")
		}
		if lacking, ok := budget.ReserveNested(map[string]float64{"other": 1, "s": 1}, false); ok || lacking == "" {
			t.Fatal("held without room")
		}
		// One that must run holds its room before others.
		if _, ok := budget.ReserveNested(calls, true); !ok {
			t.Fatal("one that must be held was not")
		}
		budget.ReleaseNested(calls)
		for range reserved {
			budget.ReleaseNested(calls)
		}
		if !budget.Allow("s") {
			t.Fatal("what was held is not given back")
		}
		for range 40 {
			budget.RecordNestedCall("s", 0.5)
		}
		if first, retries := budget.Counts("s"); first != 120 || retries != 21 {
			t.Fatalf("%d first and %d second sends", first, retries)
		}
		if budget.Allow("s") {
			t.Fatal("calls of repeated runs took no room")
		}
		<-time.After(11 * time.Second)
		if first, retries := budget.Counts("s"); first != 0 || retries != 0 {
			t.Fatalf("%d and %d after the window", first, retries)
		}
	})
}
