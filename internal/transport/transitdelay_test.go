package transport

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTransitDelay checks that frames which were held up, including the first one, are found
// delayed by that time, and that clock drift alone does not make a frame look delayed.
func TestTransitDelay(t *testing.T) {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	rapid.Check(t, func(t *rapid.T) {
		var delay transitDelay
		// Drift of the receiver's clock in parts per million.
		drift := rapid.Int64Range(-900, 900).Draw(t, "off")
		transit := ms(rapid.Int64Range(0, 200).Draw(t, "way"))
		hello := ms(rapid.Int64Range(0, 50).Draw(t, "hello"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "frames") {
			now += ms(rapid.Int64Range(0, 600_000).Draw(t, "rest"))
			held := time.Duration(0)
			if rapid.Bool().Draw(t, "is held") {
				held = ms(rapid.Int64Range(100, 20_000).Draw(t, "held"))
			}
			// The hello took a little longer than the usual transit.
			received := now + held - hello
			received += received / 1_000_000 * time.Duration(drift)
			got := delay.excess(now, received)
			// Frames stay in order: the next one arrives after this one.
			now += held
			// The usual transit time is known only from earlier frames, and the clocks only
			// up to their drift since then.
			if limit := held + ms(1) + now/clockDriftDivisor; got < 0 || got > limit {
				t.Fatalf("held up for %v, measured delay %v", held, got)
			}
			if got < held-hello-transit-2*now/clockDriftDivisor-ms(1) {
				t.Fatalf("held up for %v, measured delay only %v", held, got)
			}
		}
	})
	var delay transitDelay
	for day := range int64(30) {
		start := time.Duration(day) * 24 * time.Hour
		for i := range int64(100) {
			sent := start + ms(i*10)
			if got := delay.excess(sent, sent+sent/1_000_000*400); got > ms(5) {
				t.Fatalf("day %d: a frame that was not held up has a delay of %v", day, got)
			}
		}
		if got := delay.excess(start+time.Second, start+4*time.Second+start/1_000_000*400); got < ms(2900) {
			t.Fatalf("day %d: held up for 3 s, measured delay %v", day, got)
		}
	}
}
