package store

import (
	"context"
	"slices"

	"puffincrank/internal/transport"
)

// currentHeartbeat returns the leader's heartbeat request.
func (t *leadership) currentHeartbeat() heartbeatRequest {
	store := t.store
	store.mu.Lock()
	defer store.mu.Unlock()
	return heartbeatRequest{Ballot: t.ballot, Addr: store.Settings.InternalAddr, ChosenIndex: store.appliedIndex, ChosenDigest: store.appliedDigest, ClusterID: store.state.ClusterID}
}

// announceToSeeds sends a heartbeat to the seeds that are neither members nor
// known learners. A store that lost its disk knows only the seeds, and those
// may all be down or empty as well.
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
			// A store without state records the sender; the response is of no
			// use.
			_, _ = transport.Call[ack](ctx, store.node, to, "store.beat", request)
		})
	}
}

// hasLearnerAt reports whether a learner is known at an address.
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
