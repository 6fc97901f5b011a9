package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestMissed: first sends that came to nobody allow no repeats, not even right
// after they have left the window, and what was a repeat in part stays one.
func TestMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10 * time.Second)
		b.SetLimits(0.2, 0)
		b.SetProxyCount(1)
		<-time.After(10 * time.Second)
		for range 100 {
			b.RecordFirst("s")
		}
		if !b.WouldAllow("s") {
			t.Fatal("traffic allows no repeat")
		}
		<-time.After(3 * time.Second)
		for range 99 {
			b.RecordUndelivered("s", 0)
		}
		if one, _ := b.Counts("s"); one != 1 || b.WouldAllow("s") {
			t.Fatalf("%d first sends count, a repeat is allowed: %v", one, b.WouldAllow("s"))
		}
		// The sends are out of the window, the missing ones not yet.
		<-time.After(8 * time.Second)
		for range 50 {
			b.RecordFirst("s")
		}
		if b.WouldAllow("s") {
			t.Fatal("what was missed is forgotten with the sends")
		}
		<-time.After(3 * time.Second)
		for range 20 {
			b.RecordFirst("s")
		}
		if !b.WouldAllow("s") {
			t.Fatal("what was missed counts beyond its window")
		}
		b.RecordNestedCall("s", 0.5)
		b.RecordUndelivered("s", 0.5)
		if one, two := b.Counts("s"); one != 70 || two != 1 {
			t.Fatalf("%d first and %d second sends", one, two)
		}
	})
}
