package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUndeliveredSends: first sends that came to nobody allow no repeats, not even right
// after they have left the window, and what was a repeat in part stays one.
func TestUndeliveredSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10 * time.Second)
		budget.SetLimits(0.2, 0)
		budget.SetProxyCount(1)
		<-time.After(10 * time.Second)
		for range 100 {
			budget.RecordFirst("s")
		}
		if !budget.WouldAllow("s") {
			t.Fatal("traffic allows no repeat")
		}
		<-time.After(3 * time.Second)
		for range 99 {
			budget.RecordUndelivered("s", 0)
		}
		if first, _ := budget.Counts("s"); first != 1 || budget.WouldAllow("s") {
			t.Fatalf("%d first sends count, a repeat is allowed: %v", first, budget.WouldAllow("s"))
		}
		// The sends are out of the window, the missing ones not yet.
		<-time.After(8 * time.Second)
		for range 50 {
			budget.RecordFirst("s")
		}
		if budget.WouldAllow("s") {
			t.Fatal("what was missed is forgotten with the sends")
		}
		<-time.After(3 * time.Second)
		for range 20 {
			budget.RecordFirst("s")
		}
		if !budget.WouldAllow("s") {
			t.Fatal("what was missed counts beyond its window")
		}
		budget.RecordNestedCall("s", 0.5)
		budget.RecordUndelivered("s", 0.5)
		if first, retries := budget.Counts("s"); first != 70 || retries != 1 {
			t.Fatalf("%d first and %d second sends", first, retries)
		}
	})
}
