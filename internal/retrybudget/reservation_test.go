package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNestedReservation: a reservation counts at once and is returned when the
// request ends. Nested calls of retried requests count as retries, not as first
// attempts.
func TestNestedReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10 * time.Second)
		budget.SetLimits(0.2, 0)
		budget.SetProxyCount(1)
		<-time.After(10 * time.Second)
		for range 100 {
			budget.RecordFirst("s")
		}
		// 18 are within the ratio, but two standard deviations are held back once
		// any is reserved.
		calls := map[string]float64{"s": 1}
		reserved := 0
		for {
			if _, ok := budget.ReserveNested(calls, false); !ok {
				break
			}
			reserved++
		}
		if reserved < 8 || reserved > 18 {
			t.Fatalf("%d reservations were granted", reserved)
		}
		if budget.Allow("s") {
			t.Fatal("a retry was allowed from reserved budget")
		}
		if lacking, ok := budget.ReserveNested(map[string]float64{"other": 1, "s": 1}, false); ok || lacking == "" {
			t.Fatal("a reservation was granted without budget")
		}
		// A forced reservation succeeds even without budget.
		if _, ok := budget.ReserveNested(calls, true); !ok {
			t.Fatal("a forced reservation was refused")
		}
		budget.ReleaseNested(calls)
		for range reserved {
			budget.ReleaseNested(calls)
		}
		if !budget.Allow("s") {
			t.Fatal("the released reservations are not available again")
		}
		for range 40 {
			budget.RecordNestedCall("s", 0.5)
		}
		if first, retries := budget.Counts("s"); first != 120 || retries != 21 {
			t.Fatalf("%d first attempts and %d retries", first, retries)
		}
		if budget.Allow("s") {
			t.Fatal("nested calls of retried requests used no budget")
		}
		<-time.After(11 * time.Second)
		if first, retries := budget.Counts("s"); first != 0 || retries != 0 {
			t.Fatalf("%d first attempts and %d retries after the window", first, retries)
		}
	})
}
