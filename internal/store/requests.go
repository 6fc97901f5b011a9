package store

import (
	"context"
	"time"

	"puffincrank/internal/statemachine"
)

// requestRetentionFactor is the time for which an answered request is
// remembered, as a multiple of RecoveryBound: an hour, as RecoveryBound is 15 s
// by default. An operator's own retries end long before.
const requestRetentionFactor = 240

// wrapRequests wraps commands that may be retried into requests that are
// applied once. Until all members and learners understand requests, the
// commands are proposed as they are, and a retry is judged by the current
// state alone. applyLock is held.
func (s *Store) wrapRequests(batch []*proposal) {
	if s.commandLevel() < statemachine.LevelRequests {
		return
	}
	for _, o := range batch {
		if o.requestKey == nil {
			continue
		}
		packed, err := statemachine.Pack(statemachine.KindRequest, &statemachine.Request{ID: o.requestKey.ID, Digest: o.requestKey.Digest, Number: o.requestKey.Number, Command: o.packed})
		if err == nil {
			o.packed = packed
		}
	}
}

// raiseLevel proposes the command level of this program once all members and
// learners are known to understand it.
func (t *leadership) raiseLevel(ctx context.Context) {
	if t.store.commandLevel() >= statemachine.Level || !t.allSupport(statemachine.Level) {
		return
	}
	if packed, err := statemachine.Pack("level.raise", &statemachine.RaiseLevel{To: statemachine.Level}); err == nil {
		_, _ = t.propose(ctx, packed)
	}
}

// requestMark records how many requests had been answered at a moment.
type requestMark struct {
	at    time.Time
	total uint64
}

// recordRequestCount records the number of answered requests, at most once per
// RecoveryBound; mu is held.
func (s *Store) recordRequestCount(now time.Time) {
	if count := len(s.requestMarks); count > 0 && now.Sub(s.requestMarks[count-1].at) < s.Settings.RecoveryBound {
		return
	}
	s.requestMarks = append(s.requestMarks, requestMark{now, s.state.TotalRequests()})
}

// trimRequests returns the command that forgets requests answered too long
// ago, or nil. mu is held.
func (s *Store) trimRequests(now time.Time) statemachine.Command {
	outdated := 0
	for outdated < len(s.requestMarks) && now.Sub(s.requestMarks[outdated].at) > requestRetentionFactor*s.Settings.RecoveryBound {
		outdated++
	}
	if outdated == 0 {
		return nil
	}
	to := s.requestMarks[outdated-1].total
	s.requestMarks = append([]requestMark(nil), s.requestMarks[outdated:]...)
	if to <= s.state.CompactedRequests {
		return nil
	}
	return &statemachine.CompactRequests{To: to}
}
