package store

import (
	"context"
	"slices"

	"puffincrank/internal/transport"
)

// beatOfNow is the leader's beat.
func (t *leadership) beatOfNow() heartbeatRequest {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	return heartbeatRequest{Num: t.num, Addr: s.Settings.InternalAddr, Slot: s.slot, Sum: s.sum, Mesh: s.state.ClusterID}
}

// greetSeeds tells the seeds without a place, those not heard of as learners, who
// leads. One whose disk was lost knows of nobody but the seeds, and those may all
// be gone or as empty.
func (t *leadership) greetSeeds(ctx context.Context) {
	s, ask := t.s, t.beatOfNow()
	members, _ := s.memberAddresses()
	for _, to := range s.Settings.Seeds {
		if slices.Contains(members, to) || t.knowsLearnerAt(to) {
			continue
		}
		t.g.Go("greet", func(context.Context) {
			ctx, end := context.WithTimeout(ctx, s.Settings.Lease()/2)
			defer end()
			// Whoever has no state notes the sender; the answer says nothing.
			_, _ = transport.Call[ack](ctx, s.n, to, "store.beat", ask)
		})
	}
}

// knowsLearnerAt tells whether a replica that stands by is heard of at an address.
func (t *leadership) knowsLearnerAt(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.learners {
		if l.m.Addr == addr {
			return true
		}
	}
	return false
}
