package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/transport"
)

// stepDown ends the current term of this store, if there is one.
func (s *Store) stepDown(reason string) {
	s.mu.Lock()
	term := s.leadership
	s.leadership = nil
	if term != nil {
		term.mu.Lock()
		s.previousTerm = termRecord{time.Now(), term.contacts}
		term.mu.Unlock()
	}
	if term != nil && s.leaderAddress == s.Settings.InternalAddr {
		s.leaderAddress = ""
	}
	s.mu.Unlock()
	if term == nil {
		return
	}
	term.stop()
	s.role.Fire("lose")
	s.wakeLoop(false)
	s.env.Log.Emit(event.RoleLost, "duty", "writer", "why", reason)
}

// transferLeadership ends the term and tells the voters that the leadership is
// vacant.
func (s *Store) transferLeadership(reason string) {
	s.mu.Lock()
	term, number := s.leadership, s.ballot
	s.mu.Unlock()
	if term == nil {
		return
	}
	// Pending proposals are decided first, so that a planned stop leaves no
	// outcome unknown; new ones are refused and go to the next leader.
	term.closed.Store(true)
	for started := time.Now(); term.pending.Load() > 0 && !term.ended() && time.Since(started) < s.Settings.Lease(); {
		timer := time.NewTimer(s.Settings.HeartbeatInterval() / 20)
		<-timer.C
	}
	s.stepDown(reason)
	s.announceVacancy(number)
}

// announceVacancy tells the voters that the leadership is vacant.
func (s *Store) announceVacancy(number ballot.Number) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Settings.HeartbeatInterval())
	defer cancel()
	addresses, _ := s.memberAddresses()
	s.voter.Vacate(number)
	ballot.Poll(ctx, s.tasks, addresses, func(ctx context.Context, to string) (ack, error) {
		if to == s.Settings.InternalAddr {
			return ack{}, nil
		}
		return transport.Call[ack](ctx, s.node, to, "store.vacate", vacateRequest{number})
	}, func(string, ack, error) bool { return false })
}
