package store

import (
	"context"
	"time"

	"puffincrank/internal/statemachine"
)

// A change of the members is proposed only when a majority of those who would
// vote after it is known to have applied all that is chosen, and nothing is
// decided between that look and the proposal. So every majority of the new
// members, and whatever is left of them after as many losses as they are to bear,
// holds each entry that was ever acknowledged.

// holders counts the members that are known to have applied up to a slot; t.mu
// is held.
func (t *leadership) holders(members []statemachine.Member, slot uint64) (n int) {
	for _, m := range members {
		// One that ends soon may take its disk with it.
		if !t.contacts[m.ID].going.IsZero() {
			continue
		}
		has := t.contacts[m.ID].slot
		if sp := t.learners[m.ID]; sp != nil {
			has = max(has, sp.slot)
		}
		if m.ID == t.s.acc.Identity().ID {
			has = slot
		}
		if has >= slot {
			n++
		}
	}
	return n
}

// awaitHolders waits until so many of these members hold all that is chosen, a beat
// at the most. learn is held, so nothing is decided meanwhile.
func (t *leadership) awaitHolders(ctx context.Context, members []statemachine.Member, need int) bool {
	for from := time.Now(); ctx.Err() == nil && !t.ended(); {
		t.mu.Lock()
		slot := t.s.slot
		held := t.holders(members, slot) >= need
		able := t.holders(members, slot-min(slot, learnerLag)) >= need
		t.mu.Unlock()
		if held {
			return true
		}
		// Nobody is kept waiting for members that have much to catch up with.
		if !able || time.Since(from) > t.s.Settings.HeartbeatInterval() {
			return false
		}
		// The beat tells them the newest slot; the next one's answers tell that
		// they have applied it.
		_ = t.heartbeat(ctx)
		t.s.e.Sleep(ctx, t.s.Settings.HeartbeatInterval()/40)
	}
	return false
}

// heldByMajority is the guard of a change after which these are the members.
func (t *leadership) heldByMajority(then []statemachine.Member) func(context.Context) bool {
	return func(ctx context.Context) bool { return t.awaitHolders(ctx, then, len(then)/2+1) }
}

// without lists the members but one.
func without(members []statemachine.Member, id string) (out []statemachine.Member) {
	for _, m := range members {
		if m.ID != id {
			out = append(out, m)
		}
	}
	return out
}

// withReplaced lists the members after one has taken the place of another, or a
// place of its own.
func withReplaced(members []statemachine.Member, old string, joiner statemachine.Member) []statemachine.Member {
	return append(without(members, old), joiner)
}

// othersHold tells whether the members but one hold all that is chosen, by a
// majority of all: only then may that one go with what it has. A leader that goes
// itself decides nothing after that.
func (t *leadership) othersHold(ctx context.Context, leaving string) bool {
	guard := func(ctx context.Context) bool {
		all, _, _ := t.s.members()
		others := without(all, leaving)
		held := t.awaitHolders(ctx, others, min(len(all)/2+1, len(others)))
		if held && leaving == t.s.acc.Identity().ID {
			t.shut.Store(true)
		}
		return held
	}
	r, err := t.submit(ctx, &proposal{guard: guard, result: make(chan outcome, 1)})
	return err == nil && r.Code == statemachine.OK
}
