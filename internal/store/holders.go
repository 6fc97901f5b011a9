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

// countHolders counts the members that are known to have applied up to a slot; t.mu
// is held.
func (t *leadership) countHolders(members []statemachine.Member, index uint64) (count int) {
	for _, m := range members {
		// One that ends soon may take its disk with it.
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

// awaitHolders waits until so many of these members hold all that is chosen, a beat
// at the most. learn is held, so nothing is decided meanwhile.
func (t *leadership) awaitHolders(ctx context.Context, members []statemachine.Member, need int) bool {
	for started := time.Now(); ctx.Err() == nil && !t.ended(); {
		t.mu.Lock()
		index := t.store.appliedIndex
		held := t.countHolders(members, index) >= need
		close := t.countHolders(members, index-min(index, maxLearnerLag)) >= need
		t.mu.Unlock()
		if held {
			return true
		}
		// Nobody is kept waiting for members that have much to catch up with.
		if !close || time.Since(started) > t.store.Settings.HeartbeatInterval() {
			return false
		}
		// The beat tells them the newest slot; the next one's answers tell that
		// they have applied it.
		_ = t.heartbeat(ctx)
		t.store.env.Sleep(ctx, t.store.Settings.HeartbeatInterval()/40)
	}
	return false
}

// heldByMajority is the guard of a change after which these are the members.
func (t *leadership) heldByMajority(members []statemachine.Member) func(context.Context) bool {
	return func(ctx context.Context) bool { return t.awaitHolders(ctx, members, len(members)/2+1) }
}

// without lists the members but one.
func without(members []statemachine.Member, id string) (others []statemachine.Member) {
	for _, m := range members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
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
