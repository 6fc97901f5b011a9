package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/transport"
)

// stepDown ends the term that stands, if any.
func (s *Store) stepDown(why string) {
	s.mu.Lock()
	t := s.leadership
	s.leadership = nil
	if t != nil {
		t.mu.Lock()
		s.formerTerm = formerTerm{time.Now(), t.contacts}
		t.mu.Unlock()
	}
	if t != nil && s.leaderAddress == s.Settings.InternalAddr {
		s.leaderAddress = ""
	}
	s.mu.Unlock()
	if t == nil {
		return
	}
	t.stop()
	s.role.Fire("lose")
	s.wakeLoop(false)
	s.e.Log.Emit(event.RoleLost, "duty", "writer", "why", why)
}

// transferLeadership gives the leadership up and tells the voters that it is vacant.
func (s *Store) transferLeadership(why string) {
	s.mu.Lock()
	t, num := s.leadership, s.num
	s.mu.Unlock()
	if t == nil {
		return
	}
	// What was offered is decided first, so that no outcome stays unknown for
	// a planned stop; new offers are refused and go to the next leader.
	t.shut.Store(true)
	for from := time.Now(); t.pending.Load() > 0 && !t.ended() && time.Since(from) < s.Settings.Lease(); {
		w := time.NewTimer(s.Settings.HeartbeatInterval() / 20)
		<-w.C
	}
	s.stepDown(why)
	s.announceVacancy(num)
}

// announceVacancy tells the voters that the leadership is free.
func (s *Store) announceVacancy(num ballot.Number) {
	ctx, end := context.WithTimeout(context.Background(), s.Settings.HeartbeatInterval())
	defer end()
	who, _ := s.memberAddresses()
	s.voter.Vacate(num)
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (ack, error) {
		if to == s.Settings.InternalAddr {
			return ack{}, nil
		}
		return transport.Call[ack](ctx, s.n, to, "store.vacate", vacateRequest{num})
	}, func(string, ack, error) bool { return false })
}
