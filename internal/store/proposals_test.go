package store

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
)

// TestExpiredProposalsRefused: what its sender took back is left alone, what is too old is
// refused for certain, all else is proposed.
func TestExpiredProposalsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		newProposal := func(notAfter time.Time) *proposal {
			return &proposal{notAfter: notAfter, result: make(chan outcome, 1)}
		}
		abandoned, expired, current, unlimited := newProposal(now.Add(time.Hour)), newProposal(now.Add(-time.Millisecond)), newProposal(now.Add(time.Millisecond)), newProposal(time.Time{})
		abandoned.claimed.Store(true)
		got := claimProposals([]*proposal{abandoned, expired, current, unlimited})
		if len(got) != 2 || got[0] != current || got[1] != unlimited {
			t.Errorf("%d are proposed", len(got))
		}
		if decided := <-expired.result; !fault.Is(decided.err, fault.Refused) {
			t.Error(decided.err)
		}
		if len(abandoned.result)+len(current.result)+len(unlimited.result) != 0 || !current.claimed.Load() || !expired.claimed.Load() {
			t.Error("answered before it was decided, or not taken")
		}
	})
}
