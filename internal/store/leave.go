package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

// leaveGracePercent is the part of the grace period, in percent, for which a
// leaving member waits for the others to hold what it has. After that it stops
// anyway: its disk stays, and the platform would kill it.
const leaveGracePercent = 60

// leave replaces this member by a learner that has caught up, before the
// process ends. Without such a learner the membership is kept, since a planned
// stop is usually a restart. Either way the process ends only when a majority
// without it holds all that it has, including the change of the members: its
// disk may be lost with it, and another one right after.
func (s *Store) leave() {
	started := time.Now()
	ctx, cancel := context.WithTimeout(s.tasks.Context(), s.Settings.GracePeriod*leaveGracePercent/100)
	defer cancel()
	transferCtx, cancelTransfer := context.WithTimeout(ctx, s.Settings.CallTimeout())
	index, transferred := s.transferMembership(transferCtx)
	cancelTransfer()
	for transferred && !s.majorityAppliedChange(ctx, index) && ctx.Err() == nil {
		s.env.Sleep(ctx, s.Settings.HeartbeatInterval()/10)
	}
	for !transferred && s.selfIsMember() && !s.othersHold(ctx) && ctx.Err() == nil {
		s.env.Sleep(ctx, s.Settings.HeartbeatInterval()/4)
	}
	if ctx.Err() == nil {
		s.env.Trace.Notify(trace.Left{Replica: s.acceptor.Identity().ID})
	}
	s.env.Log.Emit(event.StoreLeft, "place_given", transferred, "after_ms", time.Since(started).Milliseconds(), "in_time", ctx.Err() == nil)
}

// selfIsMember reports whether this replica is a member.
func (s *Store) selfIsMember() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isMember(s.acceptor.Identity().ID)
}

// transferMembership replaces this member by a learner, with the entry at the
// returned index; false means that the membership is kept.
func (s *Store) transferMembership(ctx context.Context) (index uint64, transferred bool) {
	s.mu.Lock()
	term, leader, self, number := s.leadership, s.leaderAddress, s.acceptor.Identity().ID, s.ballot
	member := s.isMember(self)
	s.mu.Unlock()
	switch {
	case !member:
		return 0, false
	case term == nil && leader != "":
		response, err := transport.Call[ack](ctx, s.node, leader, "store.leave", leaveRequest{ID: self})
		return response.Applied, err == nil && response.OK
	case term != nil && term.replaceLeaving(ctx, self):
		// The term ends with the change; the others need not wait for the
		// leader's timeout.
		s.announceVacancy(number)
		_, _, index = s.members()
		return index, true
	}
	return 0, false
}

// majorityAppliedChange reports whether a majority of the members after a
// change has applied it: until then the former members decide, and this one is
// among them.
func (s *Store) majorityAppliedChange(ctx context.Context, index uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer cancel()
	addresses, _ := s.memberAddresses()
	applied := map[string]uint64{s.acceptor.Identity().ID: index}
	var members []statemachine.Member
	for range 2 {
		ballot.Poll(ctx, s.tasks, addresses, func(ctx context.Context, to string) (probeResponse, error) {
			return transport.Call[probeResponse](ctx, s.node, to, "store.found", probeRequest{s.acceptor.Identity().ID, s.Settings.InternalAddr})
		}, func(_ string, response probeResponse, err error) bool {
			if err == nil && response.Applied >= index {
				applied[response.ID], members = response.Applied, response.Members
			}
			return false
		})
		// Those that have applied the change know the address of the new
		// member.
		addresses = nil
		for _, m := range members {
			if applied[m.ID] == 0 {
				addresses = append(addresses, m.Addr)
			}
		}
	}
	count := 0
	for _, m := range members {
		if applied[m.ID] >= index {
			count++
		}
	}
	return count > len(members)/2
}

// othersHold reports whether the others hold everything that this leaving
// member has. If so, it accepts no more entries and asks again: what it
// accepted in between must not be held by it alone.
func (s *Store) othersHold(ctx context.Context) bool {
	if !s.queryOthersHold(ctx) {
		return false
	}
	s.mu.Lock()
	leads := s.leadership != nil
	s.leaving = !leads
	s.mu.Unlock()
	return leads || s.queryOthersHold(ctx)
}

func (s *Store) queryOthersHold(ctx context.Context) bool {
	s.mu.Lock()
	term, leader, self := s.leadership, s.leaderAddress, s.acceptor.Identity().ID
	s.mu.Unlock()
	if term != nil {
		return term.othersHold(ctx, self)
	}
	if leader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer cancel()
	response, err := transport.Call[ack](ctx, s.node, leader, "store.leave", leaveRequest{ID: self, KeepsMembership: true})
	return err == nil && response.HeldByOthers
}

// onLeave handles the announcement of a member that stops.
func (s *Store) onLeave(ctx context.Context, _ transport.Hello, request leaveRequest) (ack, error) {
	s.mu.Lock()
	term := s.leadership
	s.mu.Unlock()
	switch {
	case term == nil:
		return ack{}, nil
	case request.KeepsMembership:
		term.recordLeaving(request.ID)
		return ack{HeldByOthers: term.othersHold(ctx, request.ID)}, nil
	}
	transferred := term.replaceLeaving(ctx, request.ID)
	_, _, index := s.members()
	return ack{OK: transferred, Applied: index}, nil
}

// replaceLeaving replaces a leaving member by the best learner, if there is
// one and all the other members are connected. A learner counts as caught up
// after its next report, which is waited for, since the leaving member is
// still running.
func (t *leadership) replaceLeaving(ctx context.Context, old string) bool {
	t.membershipLock.Lock()
	defer t.membershipLock.Unlock()
	for ctx.Err() == nil && !t.ended() {
		members, _, _ := t.store.members()
		t.mu.Lock()
		possible := t.countConnected(members, old) == len(members)-1 && t.hasSteadyLearner(t.store.Settings.ReplaceAfter/2)
		replacement := t.bestLearner(members, old, t.store.Settings.ReplaceAfter/2)
		t.mu.Unlock()
		if !possible {
			return false
		}
		if replacement != nil {
			result, err := t.changeMembers(ctx, old, false, replacement.member)
			if err != nil || result.Code == statemachine.OK {
				return err == nil
			}
		}
		t.store.env.Sleep(ctx, t.store.Settings.HeartbeatInterval()/40)
	}
	return false
}
