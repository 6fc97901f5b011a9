package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUndeliveredAttempts: first attempts that reached no worker allow no retries,
// not even right after they have left the window, and the fraction that counted as
// a retry stays counted.
func TestUndeliveredAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10 * time.Second)
		budget.SetLimits(0.2, 0)
		budget.SetProxyCount(1)
		<-time.After(10 * time.Second)
		for range 100 {
			budget.RecordFirst("s")
		}
		if !budget.WouldAllow("s") {
			t.Fatal("no retry is allowed despite first attempts")
		}
		<-time.After(3 * time.Second)
		for range 99 {
			budget.RecordUndelivered("s", 0)
		}
		if first, _ := budget.Counts("s"); first != 1 || budget.WouldAllow("s") {
			t.Fatalf("%d first attempts count, a retry is allowed: %v", first, budget.WouldAllow("s"))
		}
		// The attempts have left the window, the deductions have not.
		<-time.After(8 * time.Second)
		for range 50 {
			budget.RecordFirst("s")
		}
		if budget.WouldAllow("s") {
			t.Fatal("deductions ended together with the attempts")
		}
		<-time.After(3 * time.Second)
		for range 20 {
			budget.RecordFirst("s")
		}
		if !budget.WouldAllow("s") {
			t.Fatal("deductions last longer than a window")
		}
		budget.RecordNestedCall("s", 0.5)
		budget.RecordUndelivered("s", 0.5)
		if first, retries := budget.Counts("s"); first != 70 || retries != 1 {
			t.Fatalf("%d first attempts and %d retries", first, retries)
		}
	})
}
