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

// leaveGrace is the part of the grace, in percent, for which a member that leaves
// waits for the others to hold what it has. Then it ends all the same: its disk
// stays, and the platform would kill it.
const leaveGrace = 60

// leave hands this member's place to a whole learner, before the process ends.
// Without one the place is kept, since a planned stop is mostly a restart. Either
// way the process ends only when a majority without it holds all that it has, the
// change of its place included: its disk may be gone with it, and another's right
// after.
func (s *Store) leave() {
	from := time.Now()
	ctx, end := context.WithTimeout(s.g.Context(), s.Settings.GracePeriod*leaveGrace/100)
	defer end()
	one, over := context.WithTimeout(ctx, s.Settings.CallTimeout())
	slot, given := s.handOver(one)
	over()
	for given && !s.changeKnown(ctx, slot) && ctx.Err() == nil {
		s.e.Sleep(ctx, s.Settings.HeartbeatInterval()/10)
	}
	for !given && s.isVoter() && !s.othersHold(ctx) && ctx.Err() == nil {
		s.e.Sleep(ctx, s.Settings.HeartbeatInterval()/4)
	}
	if ctx.Err() == nil {
		s.e.Trace.Notify(trace.Left{Replica: s.acc.Identity().ID})
	}
	s.e.Log.Emit(event.StoreLeft, "place_given", given, "after_ms", time.Since(from).Milliseconds(), "in_time", ctx.Err() == nil)
}

// isVoter tells whether this replica is a member.
func (s *Store) isVoter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isMember(s.acc.Identity().ID)
}

// handOver gives this member's place to a learner, by the change in a slot; false
// means that it is kept.
func (s *Store) handOver(ctx context.Context) (slot uint64, given bool) {
	s.mu.Lock()
	t, head, me, num := s.leadership, s.leaderAddress, s.acc.Identity().ID, s.num
	member := s.isMember(me)
	s.mu.Unlock()
	switch {
	case !member:
		return 0, false
	case t == nil && head != "":
		got, err := transport.Call[ack](ctx, s.n, head, "store.leave", leaveAsk{ID: me})
		return got.Slot, err == nil && got.Yes
	case t != nil && t.givePlace(ctx, me):
		// The term is over with the change; the others need not miss it first.
		s.announceVacancy(num)
		_, _, slot = s.members()
		return slot, true
	}
	return 0, false
}

// changeKnown tells whether a majority of the members after a change has applied
// it: until then those of before decide, and this one is among them.
func (s *Store) changeKnown(ctx context.Context, slot uint64) bool {
	ctx, end := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer end()
	who, _ := s.memberAddresses()
	has := map[string]uint64{s.acc.Identity().ID: slot}
	var after []statemachine.Member
	for range 2 {
		ballot.Poll(ctx, s.g, who, func(ctx context.Context, to string) (probeResponse, error) {
			return transport.Call[probeResponse](ctx, s.n, to, "store.found", probeRequest{s.acc.Identity().ID, s.Settings.InternalAddr})
		}, func(_ string, got probeResponse, err error) bool {
			if err == nil && got.Slot >= slot {
				has[got.ID], after = got.Slot, got.Members
			}
			return false
		})
		// The one who took the place is known from those who know the change.
		who = nil
		for _, m := range after {
			if has[m.ID] == 0 {
				who = append(who, m.Addr)
			}
		}
	}
	n := 0
	for _, m := range after {
		if has[m.ID] >= slot {
			n++
		}
	}
	return n > len(after)/2
}

// othersHold tells whether the others hold all that this leaving member has. Once
// they do it accepts nothing more, and asks again: what was accepted meanwhile
// must not be with it alone.
func (s *Store) othersHold(ctx context.Context) bool {
	if !s.askOthersHold(ctx) {
		return false
	}
	s.mu.Lock()
	leads := s.leadership != nil
	s.leaving = !leads
	s.mu.Unlock()
	return leads || s.askOthersHold(ctx)
}

func (s *Store) askOthersHold(ctx context.Context) bool {
	s.mu.Lock()
	t, head, me := s.leadership, s.leaderAddress, s.acc.Identity().ID
	s.mu.Unlock()
	if t != nil {
		return t.othersHold(ctx, me)
	}
	if head == "" {
		return false
	}
	ctx, end := context.WithTimeout(ctx, s.Settings.CallTimeout())
	defer end()
	got, err := transport.Call[ack](ctx, s.n, head, "store.leave", leaveAsk{ID: me, Keeps: true})
	return err == nil && got.Held
}

// onLeave hears a member that stops.
func (s *Store) onLeave(ctx context.Context, _ transport.Hello, in leaveAsk) (ack, error) {
	s.mu.Lock()
	t := s.leadership
	s.mu.Unlock()
	switch {
	case t == nil:
		return ack{}, nil
	case in.Keeps:
		t.noteGoing(in.ID)
		return ack{Held: t.othersHold(ctx, in.ID)}, nil
	}
	given := t.givePlace(ctx, in.ID)
	_, _, slot := s.members()
	return ack{Yes: given, Slot: slot}, nil
}

// givePlace gives a leaving member's place to the best learner, if there is one
// and all the others are in touch. The learner is whole after its next word: it
// is waited for, as the one that leaves is still there.
func (t *leadership) givePlace(ctx context.Context, old string) bool {
	t.changing.Lock()
	defer t.changing.Unlock()
	for ctx.Err() == nil && !t.ended() {
		all, _, _ := t.s.members()
		t.mu.Lock()
		able := t.countInTouch(all, old) == len(all)-1 && t.hasLearner(t.s.Settings.ReplaceAfter/2)
		pick := t.bestLearner(all, old, t.s.Settings.ReplaceAfter/2)
		t.mu.Unlock()
		if !able {
			return false
		}
		if pick != nil {
			r, err := t.changeMembers(ctx, old, false, pick.m)
			if err != nil || r.Code == statemachine.OK {
				return err == nil
			}
		}
		t.s.e.Sleep(ctx, t.s.Settings.HeartbeatInterval()/40)
	}
	return false
}
