package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/wire"
)

// depose ends the term that stands, if any.
func (s *Store) depose(why string) {
	s.mu.Lock()
	t := s.term
	s.term = nil
	if t != nil {
		t.mu.Lock()
		s.sight = sight{time.Now(), t.heard}
		t.mu.Unlock()
	}
	if t != nil && s.head == s.P.Inner {
		s.head = ""
	}
	s.mu.Unlock()
	if t == nil {
		return
	}
	t.end()
	s.role.Fire("lose")
	s.kick(false)
	s.e.Log.Emit(event.Lost, "duty", "writer", "why", why)
}

// resign gives the duty up and tells the voters that it is vacant.
func (s *Store) resign(why string) {
	s.mu.Lock()
	t, num := s.term, s.num
	s.mu.Unlock()
	if t == nil {
		return
	}
	// What was offered is decided first, so that no outcome stays unknown for
	// a planned stop; new offers are refused and go to the next writer.
	t.shut.Store(true)
	for from := time.Now(); t.held.Load() > 0 && !t.over() && time.Since(from) < s.P.Lease(); {
		w := time.NewTimer(s.P.Beat() / 20)
		<-w.C
	}
	s.depose(why)
	s.vacate(num)
}

// vacate tells the voters that the duty is free.
func (s *Store) vacate(num ballot.Number) {
	ctx, end := context.WithTimeout(context.Background(), s.P.Beat())
	defer end()
	who, _ := s.fellows()
	s.vote.Vacate(num)
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (ack, error) {
		if to == s.P.Inner {
			return ack{}, nil
		}
		return wire.Ask[ack](ctx, s.n, to, "store.vacate", vacateAsk{num})
	}, func(string, ack, error) bool { return false })
}
