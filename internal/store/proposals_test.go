package store

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
)

// TestExpiredProposalsRefused: a proposal that its sender has withdrawn is
// skipped, one past its deadline is refused as certainly not applied, and all
// others are proposed.
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
			t.Errorf("%d proposals claimed", len(got))
		}
		if decided := <-expired.result; !fault.Is(decided.err, fault.Refused) {
			t.Error(decided.err)
		}
		if len(abandoned.result)+len(current.result)+len(unlimited.result) != 0 || !current.claimed.Load() || !expired.claimed.Load() {
			t.Error("answered before the decision, or not claimed")
		}
	})
}
