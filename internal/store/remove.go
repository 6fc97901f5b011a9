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

// silentMember names the member that has not answered for longest, and for longer
// than the bound; mu is held.
func (t *leadership) silentMember(members []statemachine.Member, bound time.Duration) (id string) {
	for _, m := range members {
		if at := t.contacts[m.ID].at; m.ID != t.s.acc.Identity().ID && time.Since(at) > bound && (id == "" || at.Before(t.contacts[id].at)) {
			id = m.ID
		}
	}
	return id
}

// onRemove takes a store out by an operator's word. It is refused when those
// who stay could not decide at once without it: fewer than two, or one of them
// out of touch.
func (s *Store) onRemove(ctx context.Context, _ transport.Hello, in RemoveRequest) (LeaderResponse, error) {
	t, g := s.currentLeadership()
	if t == nil {
		return g, nil
	}
	g.Done = true
	stay, found := 0, false
	t.mu.Lock()
	for _, m := range g.Members {
		if m.ID == in.ID {
			found = true
		} else if m.ID == s.acc.Identity().ID || time.Since(t.contacts[m.ID].at) < s.Settings.Lease() {
			stay++
		}
	}
	t.mu.Unlock()
	if !found {
		g.Result = statemachine.Result{Code: statemachine.NotFound, Message: "no such member"}
		return g, nil
	}
	if left := len(g.Members) - 1; left < 2 || stay < left {
		s.e.Log.Emit(event.UnsafeRemoval, "member", in.ID, "left", left, "in_touch", stay)
		g.Result = statemachine.Result{Code: statemachine.Conflict, Message: "the stores that stay would be without a majority"}
		return g, nil
	}
	p, err := statemachine.Pack("store.remove", &statemachine.RemoveMember{ID: in.ID})
	if err != nil {
		return g, fault.Wrap(fault.Refused, err, "remove")
	}
	g.Result, err = t.proposeGuarded(ctx, p, in.Request, t.heldByMajority(without(g.Members, in.ID)))
	return g, err
}

// noteSuccessor hears which replica stands at an address. Another than the holder of
// the leadership at the holder's own means that the holder's disk is lost, and its
// process with it: the leadership is vacant, and need not be missed for a time first.
func (s *Store) noteSuccessor(id, addr string) {
	vow, quiet := s.voter.Promised()
	if id == vow.Candidate || quiet >= s.Settings.LeaderTimeout() || !s.votes() {
		return
	}
	s.mu.Lock()
	lost := slices.ContainsFunc(s.state.Members, func(m statemachine.Member) bool { return m.ID == vow.Candidate && m.Addr == addr })
	s.mu.Unlock()
	if !lost {
		return
	}
	s.voter.Vacate(vow)
	at := time.Now().Add(s.campaignDelay(vow))
	s.mu.Lock()
	s.campaignFrom = at
	s.mu.Unlock()
	s.wakeLoop(false)
}
