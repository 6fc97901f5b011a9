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
		b.Bound(0.2, 0)
		b.Nodes(1)
		<-time.After(10 * time.Second)
		for range 100 {
			b.First("s")
		}
		if !b.Could("s") {
			t.Fatal("traffic allows no repeat")
		}
		<-time.After(3 * time.Second)
		for range 99 {
			b.Missed("s", 0)
		}
		if one, _ := b.Counts("s"); one != 1 || b.Could("s") {
			t.Fatalf("%d first sends count, a repeat is allowed: %v", one, b.Could("s"))
		}
		// The sends are out of the window, the missing ones not yet.
		<-time.After(8 * time.Second)
		for range 50 {
			b.First("s")
		}
		if b.Could("s") {
			t.Fatal("what was missed is forgotten with the sends")
		}
		<-time.After(3 * time.Second)
		for range 20 {
			b.First("s")
		}
		if !b.Could("s") {
			t.Fatal("what was missed counts beyond its window")
		}
		b.Call("s", 0.5)
		b.Missed("s", 0.5)
		if one, two := b.Counts("s"); one != 70 || two != 1 {
			t.Fatalf("%d first and %d second sends", one, two)
		}
	})
}
