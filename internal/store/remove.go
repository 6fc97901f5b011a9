package store

import (
	"context"
	"slices"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// silentMember returns the member that has not answered for the longest time,
// if that is longer than the bound; mu is held.
func (t *leadership) silentMember(members []statemachine.Member, bound time.Duration) (id string) {
	for _, m := range members {
		if at := t.contacts[m.ID].at; m.ID != t.store.acceptor.Identity().ID && time.Since(at) > bound && (id == "" || at.Before(t.contacts[id].at)) {
			id = m.ID
		}
	}
	return id
}

// onRemove removes a store at an operator's request. It is refused if the
// others could not decide at once without it: there are fewer than two, or one
// of them is not connected.
func (s *Store) onRemove(ctx context.Context, _ transport.Hello, request RemoveRequest) (LeaderResponse, error) {
	term, response := s.currentLeadership()
	if term == nil {
		return response, nil
	}
	response.Done = true
	connected, found := 0, false
	term.mu.Lock()
	for _, m := range response.Members {
		if m.ID == request.ID {
			found = true
		} else if m.ID == s.acceptor.Identity().ID || time.Since(term.contacts[m.ID].at) < s.Settings.Lease() {
			connected++
		}
	}
	term.mu.Unlock()
	if !found {
		response.Result = statemachine.Result{Code: statemachine.NotFound, Message: "no such member"}
		return response, nil
	}
	if left := len(response.Members) - 1; left < 2 || connected < left {
		s.env.Log.Emit(event.UnsafeRemoval, "member", request.ID, "left", left, "in_touch", connected)
		response.Result = statemachine.Result{Code: statemachine.Conflict, Message: "the stores that stay would be without a majority"}
		return response, nil
	}
	packed, err := statemachine.Pack("store.remove", &statemachine.RemoveMember{ID: request.ID})
	if err != nil {
		return response, fault.Wrap(fault.Refused, err, "remove")
	}
	response.Result, err = term.proposeGuarded(ctx, packed, request.Request, term.heldByMajority(without(response.Members, request.ID)))
	return response, err
}

// detectReplacedLeader checks the replica that runs at an address. Another
// replica at the leader's own address means that the leader's disk and process
// are lost: the leadership is vacant, without waiting for the leader's
// timeout.
func (s *Store) detectReplacedLeader(id, addr string) {
	promised, silence := s.voter.Promised()
	if id == promised.Candidate || silence >= s.Settings.LeaderTimeout() || !s.canVote() {
		return
	}
	s.mu.Lock()
	lost := slices.ContainsFunc(s.state.Members, func(m statemachine.Member) bool { return m.ID == promised.Candidate && m.Addr == addr })
	s.mu.Unlock()
	if !lost {
		return
	}
	s.voter.Vacate(promised)
	notBefore := time.Now().Add(s.campaignDelay(promised))
	s.mu.Lock()
	s.campaignNotBefore = notBefore
	s.mu.Unlock()
	s.wakeLoop(false)
}
