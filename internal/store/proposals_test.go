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
		made := func(by time.Time) *proposal { return &proposal{latest: by, result: make(chan outcome, 1)} }
		gone, old, good, plain := made(now.Add(time.Hour)), made(now.Add(-time.Millisecond)), made(now.Add(time.Millisecond)), made(time.Time{})
		gone.taken.Store(true)
		got := dequeue([]*proposal{gone, old, good, plain})
		if len(got) != 2 || got[0] != good || got[1] != plain {
			t.Errorf("%d are proposed", len(got))
		}
		if d := <-old.result; !fault.Is(d.err, fault.Refused) {
			t.Error(d.err)
		}
		if len(gone.result)+len(good.result)+len(plain.result) != 0 || !good.taken.Load() || !old.taken.Load() {
			t.Error("answered before it was decided, or not taken")
		}
	})
}
