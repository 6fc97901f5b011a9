package store

import (
	"context"
	"time"

	"puffincrank/internal/statemachine"
)

// The time for which an answered request is remembered, as a ratio to the bound
// on a return: an hour with the default of 15 s. An operator's own retry ends
// long before.
const requestMemory = 240

// wrapRequests turns commands that may be sent again into requests that are done
// once. While a member has never been known to read them, the commands are
// proposed as they are, and an order that is sent again is judged by what stands
// alone. learn is held.
func (s *Store) wrapRequests(batch []*proposal) {
	if s.level() < statemachine.LevelRequests {
		return
	}
	for _, o := range batch {
		if o.once == nil {
			continue
		}
		p, err := statemachine.Pack(statemachine.KindRequest, &statemachine.Request{ID: o.once.ID, Digest: o.once.Digest, Number: o.once.Number, Command: o.cmd})
		if err == nil {
			o.cmd = p
		}
	}
}

// raiseLevel proposes the level of this program's commands once all members and
// learners are known to be of it.
func (t *leadership) raiseLevel(ctx context.Context) {
	if t.s.level() >= statemachine.Level || !t.versed(statemachine.Level) {
		return
	}
	if p, err := statemachine.Pack("level.raise", &statemachine.RaiseLevel{To: statemachine.Level}); err == nil {
		_, _ = t.propose(ctx, p)
	}
}

// requestMark says how many requests had been answered at a moment.
type requestMark struct {
	at    time.Time
	total uint64
}

// markRequests notes the count of answered requests from time to time; mu is
// held.
func (s *Store) markRequests(now time.Time) {
	if n := len(s.requestMarks); n > 0 && now.Sub(s.requestMarks[n-1].at) < s.Settings.RecoveryBound {
		return
	}
	s.requestMarks = append(s.requestMarks, requestMark{now, s.state.TotalRequests()})
}

// trimRequests gives the command that forgets requests answered too long ago, or
// nil. mu is held.
func (s *Store) trimRequests(now time.Time) statemachine.Command {
	old := 0
	for old < len(s.requestMarks) && now.Sub(s.requestMarks[old].at) > requestMemory*s.Settings.RecoveryBound {
		old++
	}
	if old == 0 {
		return nil
	}
	to := s.requestMarks[old-1].total
	s.requestMarks = append([]requestMark(nil), s.requestMarks[old:]...)
	if to <= s.state.CompactedRequests {
		return nil
	}
	return &statemachine.CompactRequests{To: to}
}
