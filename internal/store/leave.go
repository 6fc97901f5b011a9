package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/ledger"
	"puffincrank/internal/wire"
)

// leaveGrace is the part of the grace, in percent, for which a member that leaves
// waits for the others to hold what it has. Then it ends all the same: its disk
// stays, and the platform would kill it.
const leaveGrace = 60

// leave hands this member's place to a whole stand-by, before the process ends.
// Without one the place is kept, since a planned stop is mostly a restart; then
// the process ends only when the others hold all that it has: its disk may be
// gone with it, and another's right after.
func (s *Store) leave() {
	from := time.Now()
	ctx, end := context.WithTimeout(s.g.Context(), s.P.Grace*leaveGrace/100)
	defer end()
	one, over := context.WithTimeout(ctx, s.P.Patience())
	given := s.handOver(one)
	over()
	for !given && s.isVoter() && !s.othersHold(ctx) && ctx.Err() == nil {
		s.e.Pause(ctx, s.P.Beat()/4)
	}
	s.e.Log.Emit(event.Left, "place_given", given, "after_ms", time.Since(from).Milliseconds(), "in_time", ctx.Err() == nil)
}

// isVoter tells whether this replica is a member.
func (s *Store) isVoter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isMember(s.acc.Me().ID)
}

// handOver gives this member's place to a stand-by; false means that it is kept.
func (s *Store) handOver(ctx context.Context) bool {
	s.mu.Lock()
	t, head, me, num := s.term, s.head, s.acc.Me().ID, s.num
	member := s.isMember(me)
	s.mu.Unlock()
	switch {
	case !member:
		return false
	case t == nil && head != "":
		got, err := wire.Ask[ack](ctx, s.n, head, "store.leave", leaveAsk{ID: me})
		return err == nil && got.Yes
	case t != nil && t.givePlace(ctx, me):
		// The term is over with the change; the others need not miss it first.
		s.vacate(num)
		return true
	}
	return false
}

// othersHold tells whether the others hold all that this leaving member has. Once
// they do it accepts nothing more, and asks again: what was accepted meanwhile
// must not be with it alone.
func (s *Store) othersHold(ctx context.Context) bool {
	if !s.askOthersHold(ctx) {
		return false
	}
	s.mu.Lock()
	leads := s.term != nil
	s.leaving = !leads
	s.mu.Unlock()
	return leads || s.askOthersHold(ctx)
}

func (s *Store) askOthersHold(ctx context.Context) bool {
	s.mu.Lock()
	t, head, me := s.term, s.head, s.acc.Me().ID
	s.mu.Unlock()
	if t != nil {
		return t.othersHold(ctx, me)
	}
	if head == "" {
		return false
	}
	ctx, end := context.WithTimeout(ctx, s.P.Patience())
	defer end()
	got, err := wire.Ask[ack](ctx, s.n, head, "store.leave", leaveAsk{ID: me, Keeps: true})
	return err == nil && got.Held
}

// onLeave hears a member that stops.
func (s *Store) onLeave(ctx context.Context, _ wire.Hello, in leaveAsk) (ack, error) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	switch {
	case t == nil:
		return ack{}, nil
	case in.Keeps:
		return ack{Held: t.othersHold(ctx, in.ID)}, nil
	}
	return ack{Yes: t.givePlace(ctx, in.ID)}, nil
}

// givePlace gives a leaving member's place to the best stand-by, if there is one
// and all the others are in touch. The stand-by is whole after its next word: it
// is waited for, as the one that leaves is still there.
func (t *term) givePlace(ctx context.Context, old string) bool {
	t.swaps.Lock()
	defer t.swaps.Unlock()
	for ctx.Err() == nil && !t.over() {
		all, _, _ := t.s.members()
		t.mu.Lock()
		able := t.touch(all, old) == len(all)-1 && t.spared(t.s.P.Replace/2)
		pick := t.best(all, old, t.s.P.Replace/2)
		t.mu.Unlock()
		if !able {
			return false
		}
		if pick != nil {
			r, err := t.seat(ctx, old, false, pick.m)
			if err != nil || r.Code == ledger.OK {
				return err == nil
			}
		}
		t.s.e.Pause(ctx, t.s.P.Beat()/40)
	}
	return false
}
