package store

import (
	"context"
	"slices"

	"puffincrank/internal/transport"
)

// currentHeartbeat is the leader's beat.
func (t *leadership) currentHeartbeat() beatAsk {
	store := t.store
	store.mu.Lock()
	defer store.mu.Unlock()
	return beatAsk{Ballot: t.ballot, Addr: store.Settings.InternalAddr, ChosenIndex: store.appliedIndex, ChosenDigest: store.appliedDigest, ClusterID: store.state.ClusterID}
}

// announceToSeeds tells the seeds without a place, those not heard of as learners, who
// leads. One whose disk was lost knows of nobody but the seeds, and those may all
// be gone or as empty.
func (t *leadership) announceToSeeds(ctx context.Context) {
	store, request := t.store, t.currentHeartbeat()
	members, _ := store.memberAddresses()
	for _, to := range store.Settings.Seeds {
		if slices.Contains(members, to) || t.hasLearnerAt(to) {
			continue
		}
		t.tasks.Go("greet", func(context.Context) {
			ctx, cancel := context.WithTimeout(ctx, store.Settings.Lease()/2)
			defer cancel()
			// Whoever has no state notes the sender; the answer says nothing.
			_, _ = transport.Call[ack](ctx, store.node, to, "store.beat", request)
		})
	}
}

// hasLearnerAt tells whether a replica that stands by is heard of at an address.
func (t *leadership) hasLearnerAt(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.learners {
		if l.member.Addr == addr {
			return true
		}
	}
	return false
}
