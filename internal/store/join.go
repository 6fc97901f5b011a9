package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/ledger"
	"puffincrank/internal/paxos"
	"puffincrank/internal/trace"
	"puffincrank/internal/wire"
)

// fill is one try of a store without a vote: to found, to be refilled, or to
// tell the writer that it stands by. It tells when to try again.
func (s *Store) fill(ctx context.Context) time.Duration {
	s.mu.Lock()
	head, bare, shut := s.head, s.led == nil, s.shut
	s.mu.Unlock()
	if shut {
		return s.P.Beat()
	}
	ctx, end := context.WithTimeout(ctx, s.P.Patience()*2)
	defer end()
	if bare || head == "" || !s.seek(ctx, head) {
		s.look(ctx)
	}
	switch {
	case s.votes():
		return 0
	case time.Since(s.born) < s.P.Return:
		// Until the mesh has been found each moment counts.
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.led == nil || s.head == "" {
			return s.P.Beat() / 4
		}
	}
	return s.P.Beat()
}

// look asks the seeds, and the members as last known, for one that holds the
// mesh's state.
func (s *Store) look(ctx context.Context) {
	who := append([]string(nil), s.P.Seeds...)
	known := map[string]bool{}
	for _, a := range who {
		known[a] = true
	}
	s.mu.Lock()
	bare := s.led == nil
	if !bare {
		for _, m := range s.led.Members {
			if !known[m.Addr] {
				who = append(who, m.Addr)
			}
		}
	} else if s.head != "" && !known[s.head] {
		// A leader that took this empty store for the member that it was.
		who = append(who, s.head)
	}
	s.mu.Unlock()
	var empty []foundGot
	var at []string
	var from foundGot
	by := ""
	ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (foundGot, error) {
		if to == s.P.Inner {
			return foundGot{Empty: true, ID: s.acc.Me().ID, Never: !s.P.Founding, Area: s.P.Area, Land: s.P.Region, Knows: ledger.Level}, nil
		}
		return wire.Ask[foundGot](ctx, s.n, to, "store.found", foundAsk{s.acc.Me().ID, s.P.Inner})
	}, func(to string, got foundGot, err error) bool {
		switch {
		case err != nil:
		case got.Empty:
			empty, at = append(empty, got), append(at, to)
		case got.Head != "" || by == "":
			from, by = got, to
		}
		// One that knows the writer is enough: another may be dead and never answer.
		return from.Head != ""
	})
	if by != "" {
		s.join(ctx, from, by)
	} else if bare && len(empty) == len(s.P.Seeds) && len(who) == len(s.P.Seeds) {
		// Only the seeds themselves found. One that was in a mesh holds its state.
		s.found(ctx, empty, at)
	}
}

// join refills this replica from a fellow and tells the writer of it.
func (s *Store) join(ctx context.Context, from foundGot, at string) {
	s.mu.Lock()
	was := s.led == nil
	s.mu.Unlock()
	err := s.refill(ctx, at)
	if was {
		s.e.Log.Emit(event.Joining, "by", at, "ok", err == nil)
	}
	if err == nil && !s.votes() && from.Head != "" {
		s.seek(ctx, from.Head)
	}
}

// refill fetches what a fellow has applied and takes up the place, if any, that
// is known from it.
func (s *Store) refill(ctx context.Context, at string) error {
	s.learn.Lock()
	defer s.learn.Unlock()
	if err := s.catchUp(ctx, at, 0); err != nil {
		return err
	}
	s.placed()
	return nil
}

// seek tells the writer that this replica stands by, and learns from it; false
// means that no writer answers there.
func (s *Store) seek(ctx context.Context, to string) bool {
	for range 3 {
		s.mu.Lock()
		ask := joinAsk{ID: s.acc.Me().ID, Addr: s.P.Inner, Mesh: s.led.Mesh, Slot: s.slot, Area: s.P.Area, Land: s.P.Region, Knows: ledger.Level}
		s.mu.Unlock()
		got, err := wire.Ask[joinGot](ctx, s.n, to, "store.join", ask)
		if err == nil && got.Slot == 0 && got.Has > ask.Slot && s.refill(ctx, to) == nil && s.votes() {
			// It does not lead, but knows of a place that this one was given.
			return true
		}
		if err != nil || got.Head == to || got.Head == "" && got.Slot == 0 {
			s.hear("")
			return false
		}
		if got.Head != "" {
			to = got.Head
			continue
		}
		s.mu.Lock()
		s.head, s.joined = to, time.Now()
		s.mu.Unlock()
		if got.Slot <= ask.Slot && !got.Done {
			return true
		}
		// Whole now: asked again, it may have a place at once.
		if s.refill(ctx, to) != nil || s.votes() {
			return true
		}
	}
	return true
}

// outcast takes up a new identity when this replica has lost its place: what it
// promised and accepted as a member must not come back. What it has applied is
// kept, on the disk too, so that its copy is still there should the others lose
// theirs right now, and so that it only fetches what it lacks.
func (s *Store) outcast() error {
	s.learn.Lock()
	defer s.learn.Unlock()
	s.mu.Lock()
	chosen, clusterID := s.slot, s.led.Mesh
	s.mu.Unlock()
	former, now := s.acc.Me().ID, paxos.Identity{ID: fresh(), Mesh: clusterID}
	if err := s.keep(func() error { return s.acc.Rename(now, chosen) }); err != nil {
		return err
	}
	s.e.Trace.Tell(trace.Renamed{Replica: now.ID, Former: former})
	s.vote.Reset()
	s.mu.Lock()
	s.head = ""
	s.ill, s.tired = false, time.Time{}
	s.mu.Unlock()
	s.role.Fire("outcast")
	s.placed()
	s.kick(false)
	return nil
}
