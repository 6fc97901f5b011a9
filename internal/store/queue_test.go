package store

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
)

// TestTooOld: what its sender took back is left alone, what is too old is
// refused for certain, all else is proposed.
func TestTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		made := func(by time.Time) *offer { return &offer{by: by, back: make(chan done, 1)} }
		gone, old, good, plain := made(now.Add(time.Hour)), made(now.Add(-time.Millisecond)), made(now.Add(time.Millisecond)), made(time.Time{})
		gone.mine.Store(true)
		got := pick([]*offer{gone, old, good, plain})
		if len(got) != 2 || got[0] != good || got[1] != plain {
			t.Errorf("%d are proposed", len(got))
		}
		if d := <-old.back; !fault.Is(d.err, fault.Refused) {
			t.Error(d.err)
		}
		if len(gone.back)+len(good.back)+len(plain.back) != 0 || !good.mine.Load() || !old.mine.Load() {
			t.Error("answered before it was decided, or not taken")
		}
	})
}
