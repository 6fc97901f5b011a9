package store

import (
	"context"
	"time"

	"puffincrank/internal/statemachine"
)

// A change of the members is proposed only when a majority of the members
// after the change is known to have applied everything that is chosen, and
// nothing is decided between this check and the proposal. So every majority of
// the new members, and those left of them after as many losses as they have to
// tolerate, hold each entry that was ever acknowledged.

// countHolders counts the members that are known to have applied up to an
// index; t.mu is held.
func (t *leadership) countHolders(members []statemachine.Member, index uint64) (count int) {
	for _, m := range members {
		// A member that stops soon may lose its disk with it.
		if !t.contacts[m.ID].leavingAt.IsZero() {
			continue
		}
		appliedIndex := t.contacts[m.ID].appliedIndex
		if l := t.learners[m.ID]; l != nil {
			appliedIndex = max(appliedIndex, l.appliedIndex)
		}
		if m.ID == t.store.acceptor.Identity().ID {
			appliedIndex = index
		}
		if appliedIndex >= index {
			count++
		}
	}
	return count
}

// awaitHolders waits until enough of these members hold everything that is
// chosen, for one heartbeat interval at most. applyLock is held, so nothing is
// decided meanwhile.
func (t *leadership) awaitHolders(ctx context.Context, members []statemachine.Member, required int) bool {
	for started := time.Now(); ctx.Err() == nil && !t.ended(); {
		t.mu.Lock()
		index := t.store.appliedIndex
		held := t.countHolders(members, index) >= required
		nearlyHeld := t.countHolders(members, index-min(index, maxLearnerLag)) >= required
		t.mu.Unlock()
		if held {
			return true
		}
		// No waiting for members that are more than maxLearnerLag entries
		// behind.
		if !nearlyHeld || time.Since(started) > t.store.Settings.HeartbeatInterval() {
			return false
		}
		// This heartbeat tells them the newest index; the responses to the
		// next one tell that they have applied it.
		_ = t.heartbeat(ctx)
		t.store.env.Sleep(ctx, t.store.Settings.HeartbeatInterval()/40)
	}
	return false
}

// heldByMajority is the guard of a change after which these are the members.
func (t *leadership) heldByMajority(members []statemachine.Member) func(context.Context) bool {
	return func(ctx context.Context) bool { return t.awaitHolders(ctx, members, len(members)/2+1) }
}

// without lists all members except one.
func without(members []statemachine.Member, id string) (others []statemachine.Member) {
	for _, m := range members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
}

// withReplaced lists the members after one has replaced another, or was added.
func withReplaced(members []statemachine.Member, old string, joiner statemachine.Member) []statemachine.Member {
	return append(without(members, old), joiner)
}

// othersHold reports whether the members other than the leaving one hold
// everything that is chosen, counted against a majority of all: only then may
// that one stop with what it has. A leader that stops itself decides nothing
// after that.
func (t *leadership) othersHold(ctx context.Context, leaving string) bool {
	guard := func(ctx context.Context) bool {
		members, _, _ := t.store.members()
		others := without(members, leaving)
		held := t.awaitHolders(ctx, others, min(len(members)/2+1, len(others)))
		if held && leaving == t.store.acceptor.Identity().ID {
			t.closed.Store(true)
		}
		return held
	}
	result, err := t.submit(ctx, &proposal{guard: guard, result: make(chan outcome, 1)})
	return err == nil && result.Code == statemachine.OK
}
