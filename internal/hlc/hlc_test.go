package hlc

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRises: stamps rise whatever the wall clock does and whatever is seen,
// and a stamp from far ahead doesn't drag the clock along.
func TestRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		c := New(func() time.Time { return now }, time.Minute)
		last := c.Now()
		for range rapid.IntRange(1, 50).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.Int64Range(-7200_000, 7200_000).Draw(t, "jump")) * time.Millisecond)
			ahead := rapid.Int64Range(-100_000, 100_000).Draw(t, "seen")
			seen := Timestamp{Wall: now.UnixMilli() + ahead}
			c.Observe(seen)
			got := c.Now()
			if !last.Less(got) {
				t.Fatalf("%v after %v", got, last)
			}
			if ahead > 0 && ahead <= 60_000 && !seen.Less(got) {
				t.Fatalf("%v does not follow %v", got, seen)
			}
			last = got
		}
	})
}

func TestFarStampIsNotFollowed(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	c := New(func() time.Time { return now }, time.Minute)
	c.Observe(Timestamp{Wall: now.UnixMilli() + 3600_000})
	if got := c.Now(); got.Wall != now.UnixMilli() {
		t.Fatalf("clock was dragged to %v", got)
	}
}
