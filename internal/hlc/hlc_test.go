package hlc

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimestampsIncrease checks that timestamps increase strictly whatever the wall clock
// does and whatever is observed, and that they exceed observed timestamps that are no
// more than the limit ahead.
func TestTimestampsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		clock := New(func() time.Time { return now }, time.Minute)
		last := clock.Now()
		for range rapid.IntRange(1, 50).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.Int64Range(-7200_000, 7200_000).Draw(t, "jump")) * time.Millisecond)
			ahead := rapid.Int64Range(-100_000, 100_000).Draw(t, "seen")
			seen := Timestamp{Wall: now.UnixMilli() + ahead}
			clock.Observe(seen)
			got := clock.Now()
			if !last.Less(got) {
				t.Fatalf("%v was issued after %v", got, last)
			}
			if ahead > 0 && ahead <= 60_000 && !seen.Less(got) {
				t.Fatalf("%v is not above the observed %v", got, seen)
			}
			last = got
		}
	})
}

// TestFarAheadTimestampIgnored checks that a timestamp beyond the limit doesn't advance the
// clock.
func TestFarAheadTimestampIgnored(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	clock := New(func() time.Time { return now }, time.Minute)
	clock.Observe(Timestamp{Wall: now.UnixMilli() + 3600_000})
	if got := clock.Now(); got.Wall != now.UnixMilli() {
		t.Fatalf("the clock advanced to %v", got)
	}
}
