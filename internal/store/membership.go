package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// near is how many entries a learner may lack at its word and still count as
// whole. What was decided since then says nothing of it: a busy core decides
// more than that between two words.
const learnerLag = 16

// learner is a replica that stands by, as the leader knows it.
type learner struct {
	m     statemachine.Member
	slot  uint64    // what it had applied at its newest word
	lacks uint64    // how many entries it lacked then
	knows int       // the level of commands that it understands
	since time.Time // from when on it was heard without a gap
	heard time.Time
}

// noteLearner notes a learner's word.
func (t *leadership) noteLearner(in joinRequest) {
	_, _, slot := t.s.members()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sp := t.learners[in.ID]
	if sp == nil || now.Sub(sp.heard) > t.s.Settings.Lease() {
		sp = &learner{m: statemachine.Member{ID: in.ID, Addr: in.Addr, Zone: in.Area, Region: in.Land}, since: now}
		t.learners[in.ID] = sp
	}
	sp.slot, sp.heard, sp.knows = in.Slot, now, in.Knows
	sp.lacks = slot - min(in.Slot, slot)
}

// isSteady tells whether a learner is there and not about to be gone again. One
// that lost its place a short while ago must stand for longer, or a machine that
// comes and goes would be swapped in and out. mu is held.
func (t *leadership) isSteady(sp *learner, steady time.Duration) bool {
	if t.s.replacedAt[sp.m.Addr].After(time.Now().Add(-t.s.Settings.CatchUpBound)) {
		steady = t.s.Settings.CatchUpBound / 2
	}
	return time.Since(sp.heard) < t.s.Settings.Lease() && time.Since(sp.since) >= steady
}

// hasLearner tells whether any learner stays, whole or not; mu is held.
func (t *leadership) hasLearner(steady time.Duration) bool {
	for _, sp := range t.learners {
		if t.isSteady(sp, steady) {
			return true
		}
	}
	return false
}

// bestLearner gives the whole learner for the place of a member, or for a free one: of the
// region and area with the fewest members, so that their loss takes few; mu is
// held.
func (t *leadership) bestLearner(all []statemachine.Member, old string, steady time.Duration) *learner {
	var pick *learner
	for _, sp := range t.learners {
		if sp.lacks > learnerLag || !t.isSteady(sp, steady) || slices.ContainsFunc(all, func(m statemachine.Member) bool { return m.ID == sp.m.ID }) {
			continue
		}
		if pick == nil || cmp.Or(compareSharing(all, sp.m, pick.m, old), strings.Compare(sp.m.ID, pick.m.ID)) < 0 {
			pick = sp
		}
	}
	return pick
}

// countInTouch counts the members that were heard lately, without one; mu is held.
func (t *leadership) countInTouch(all []statemachine.Member, without string) (n int) {
	for _, m := range all {
		if m.ID != without && (m.ID == t.s.acc.Identity().ID || time.Since(t.contacts[m.ID].at) < t.s.Settings.Lease()) {
			n++
		}
	}
	return n
}

// placeFor says what may become of a learner now: the member whose place it
// takes, or a free place; say tells why neither.
func (t *leadership) placeFor(in joinRequest, all []statemachine.Member, want int, slot uint64) (old string, free bool, say string) {
	if in.Knows < t.s.level() {
		return "", false, "its program is too old for the commands in use"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if in.Slot+learnerLag < slot {
		return "", false, "not refilled yet"
	}
	for _, m := range all {
		// The same address with another identity: the old disk is gone.
		if m.Addr == in.Addr && m.ID != t.s.acc.Identity().ID {
			old = m.ID
		}
	}
	steady := time.Duration(0)
	if old == "" {
		if old = t.silentMember(all, t.s.Settings.ReplaceAfter); old != "" {
			steady = t.s.Settings.ReplaceAfter / 2
		}
	}
	// A place is added only while all are in touch: one more voter must not be
	// what leaves the others short of a majority.
	free = old == "" && len(all) < want && t.countInTouch(all, "") == len(all)
	if old == "" && len(all) >= want && t.countInTouch(all, "") == len(all) {
		// Nobody is lost, so there is no hurry: a learner must have shown that it stays.
		if old = t.s.memberToMove(all, statemachine.Member{ID: in.ID, Zone: in.Area, Region: in.Land}); old != "" {
			steady = t.s.Settings.ReplaceAfter / 2
		}
	}
	switch {
	case old == "" && !free:
		return "", false, "stands by: no place is free, and no member is out of touch for long enough"
	}
	if pick := t.bestLearner(all, old, steady); steady > 0 || free {
		if pick == nil || pick.m.ID != in.ID {
			return "", false, "stands by: another is to have the place, or this one is too new"
		}
	}
	return old, free, ""
}

// onJoin hears a refilled learner, and lets the leader put it in a lost
// member's place or in a free one.
func (s *Store) onJoin(ctx context.Context, _ transport.Hello, in joinRequest) (joinResponse, error) {
	s.mu.Lock()
	t, got := s.leadership, joinResponse{Head: s.leaderAddress}
	if s.state != nil {
		got.Has = s.slot
	}
	if t == nil {
		s.mu.Unlock()
		return got, nil
	}
	mesh := s.state.ClusterID
	got = joinResponse{Slot: s.slot, Done: s.isMember(in.ID)}
	s.mu.Unlock()
	if in.Mesh != mesh {
		s.e.Log.Emit(event.ForeignData, "joiner", in.Addr, "mesh", in.Mesh)
		return joinResponse{}, fault.New(fault.Refused, "joiner is of another mesh")
	}
	if got.Done {
		return got, nil
	}
	t.noteLearner(in)
	if !t.changing.TryLock() {
		got.Say = "another change of the members is under way"
		return got, nil
	}
	defer t.changing.Unlock()
	all, want, slot := s.members()
	old, free, say := t.placeFor(in, all, want, slot)
	if say != "" {
		got.Say = say
		return got, nil
	}
	r, err := t.changeMembers(ctx, old, free, statemachine.Member{ID: in.ID, Addr: in.Addr, Zone: in.Area, Region: in.Land})
	if err != nil {
		return joinResponse{}, err
	}
	_, _, slot = s.members()
	return joinResponse{Done: r.Code == statemachine.OK, Say: r.Message, Slot: slot}, nil
}

// level is that of the commands in use.
func (s *Store) level() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Level
}

func (s *Store) members() (all []statemachine.Member, want int, slot uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Members, s.state.VoterCount(), s.slot
}

// changeMembers decides a change of the members; swaps is held.
func (t *leadership) changeMembers(ctx context.Context, old string, free bool, m statemachine.Member) (statemachine.Result, error) {
	s := t.s
	all, _, _ := s.members()
	kind, cmd := "store.replace", statemachine.Command(&statemachine.ReplaceMember{Old: old, New: m})
	if free && len(all) >= 3 {
		kind, cmd = "store.add", &statemachine.AddMember{New: m}
	}
	p, err := statemachine.Pack(kind, cmd)
	if err != nil {
		return statemachine.Result{}, err
	}
	r, err := t.proposeGuarded(ctx, p, nil, t.heldByMajority(withReplaced(all, old, m)))
	if err == nil && r.Code == statemachine.OK {
		for _, o := range all {
			if o.ID == old && o.Addr != m.Addr {
				s.mu.Lock()
				s.replacedAt[o.Addr] = time.Now()
				s.mu.Unlock()
			}
		}
		s.e.Log.Emit(event.Replaced, "old", old, "new", m.ID, "addr", m.Addr)
	}
	return r, err
}
