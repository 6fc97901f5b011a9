package transport

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAge: held-up frames have the age of what held them, also the first one,
// and a clock that runs off does not age what is not held up.
func TestAge(t *testing.T) {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	rapid.Check(t, func(t *rapid.T) {
		var a transitDelay
		// Parts in a million by which the receiver's clock runs off.
		off := rapid.Int64Range(-900, 900).Draw(t, "off")
		way := ms(rapid.Int64Range(0, 200).Draw(t, "way"))
		hello := ms(rapid.Int64Range(0, 50).Draw(t, "hello"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "frames") {
			now += ms(rapid.Int64Range(0, 600_000).Draw(t, "rest"))
			held := time.Duration(0)
			if rapid.Bool().Draw(t, "is held") {
				held = ms(rapid.Int64Range(100, 20_000).Draw(t, "held"))
			}
			// The hello took a little more than the way.
			came := now + held - hello
			came += came / 1_000_000 * time.Duration(off)
			got := a.excess(now, came)
			// In order: the next one comes later than this.
			now += held
			// The usual way isn't known better than by the frames before, nor the
			// clocks than by their slack since.
			if most := held + ms(1) + now/clockDriftDivisor; got < 0 || got > most {
				t.Fatalf("held for %v, age %v", held, got)
			}
			if got < held-hello-way-2*now/clockDriftDivisor-ms(1) {
				t.Fatalf("held for %v, age %v only", held, got)
			}
		}
	})
	var a transitDelay
	for day := range int64(30) {
		at := time.Duration(day) * 24 * time.Hour
		for i := range int64(100) {
			sent := at + ms(i*10)
			if got := a.excess(sent, sent+sent/1_000_000*400); got > ms(5) {
				t.Fatalf("day %d: a frame that wasn't held has age %v", day, got)
			}
		}
		if got := a.excess(at+time.Second, at+4*time.Second+at/1_000_000*400); got < ms(2900) {
			t.Fatalf("day %d: held for 3 s, age %v", day, got)
		}
	}
}
