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

// maxLearnerLag is how many entries a learner may lack at its report and still
// count as caught up. Entries decided after the report do not count: a busy
// control plane decides more than that between two reports.
const maxLearnerLag = 16

// learner is a replica without a vote that follows the leader, as the leader
// knows it.
type learner struct {
	member         statemachine.Member
	appliedIndex   uint64    // at its newest report
	lag            uint64    // how many entries it lacked then
	commandLevel   int       // the highest level of commands that it understands
	connectedSince time.Time // start of its uninterrupted reports
	lastReport     time.Time
}

// recordLearner records a learner's report.
func (t *leadership) recordLearner(request joinRequest) {
	_, _, index := t.store.members()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reporting := t.learners[request.ID]
	if reporting == nil || now.Sub(reporting.lastReport) > t.store.Settings.Lease() {
		reporting = &learner{member: statemachine.Member{ID: request.ID, Addr: request.Addr, Zone: request.Zone, Region: request.Region}, connectedSince: now}
		t.learners[request.ID] = reporting
	}
	reporting.appliedIndex, reporting.lastReport, reporting.commandLevel = request.Applied, now, request.CommandLevel
	reporting.lag = index - min(request.Applied, index)
}

// isSteady reports whether a learner is connected and has been for long
// enough. A learner whose address lost a membership within CatchUpBound must
// stay for longer, or a machine that keeps failing and recovering would be
// swapped in and out. mu is held.
func (t *leadership) isSteady(candidate *learner, minDuration time.Duration) bool {
	if t.store.replacedAt[candidate.member.Addr].After(time.Now().Add(-t.store.Settings.CatchUpBound)) {
		minDuration = t.store.Settings.CatchUpBound / 2
	}
	return time.Since(candidate.lastReport) < t.store.Settings.Lease() && time.Since(candidate.connectedSince) >= minDuration
}

// hasSteadyLearner reports whether any learner is steady, caught up or not; mu
// is held.
func (t *leadership) hasSteadyLearner(minDuration time.Duration) bool {
	for _, l := range t.learners {
		if t.isSteady(l, minDuration) {
			return true
		}
	}
	return false
}

// bestLearner returns the caught-up learner that may replace a member or be
// added: the one whose region and zone have the fewest members, so that the
// loss of a region or zone takes few votes; mu is held.
func (t *leadership) bestLearner(members []statemachine.Member, old string, minDuration time.Duration) *learner {
	var best *learner
	for _, l := range t.learners {
		if l.lag > maxLearnerLag || !t.isSteady(l, minDuration) || slices.ContainsFunc(members, func(m statemachine.Member) bool { return m.ID == l.member.ID }) {
			continue
		}
		if best == nil || cmp.Or(compareSharing(members, l.member, best.member, old), strings.Compare(l.member.ID, best.member.ID)) < 0 {
			best = l
		}
	}
	return best
}

// countConnected counts the members that answered within a lease, except one;
// mu is held.
func (t *leadership) countConnected(members []statemachine.Member, without string) (count int) {
	for _, m := range members {
		if m.ID != without && (m.ID == t.store.acceptor.Identity().ID || time.Since(t.contacts[m.ID].at) < t.store.Settings.Lease()) {
			count++
		}
	}
	return count
}

// decideAdmission returns the member that a learner may replace now, or whether it
// may be added; reason tells why neither is possible.
func (t *leadership) decideAdmission(request joinRequest, members []statemachine.Member, wanted int, index uint64) (replaced string, mayAdd bool, reason string) {
	if request.CommandLevel < t.store.commandLevel() {
		return "", false, "its program is too old for the commands in use"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if request.Applied+maxLearnerLag < index {
		return "", false, "not refilled yet"
	}
	for _, m := range members {
		// The same address with another identity: the old disk is lost.
		if m.Addr == request.Addr && m.ID != t.store.acceptor.Identity().ID {
			replaced = m.ID
		}
	}
	minDuration := time.Duration(0)
	if replaced == "" {
		if replaced = t.silentMember(members, t.store.Settings.ReplaceAfter); replaced != "" {
			minDuration = t.store.Settings.ReplaceAfter / 2
		}
	}
	// A member is added only while all are connected: an additional voter must
	// not leave the connected ones short of a majority.
	mayAdd = replaced == "" && len(members) < wanted && t.countConnected(members, "") == len(members)
	if replaced == "" && len(members) >= wanted && t.countConnected(members, "") == len(members) {
		// No member is lost, so there is no hurry: a learner must first have
		// been steady.
		if replaced = t.store.memberToReplace(members, statemachine.Member{ID: request.ID, Zone: request.Zone, Region: request.Region}); replaced != "" {
			minDuration = t.store.Settings.ReplaceAfter / 2
		}
	}
	switch {
	case replaced == "" && !mayAdd:
		return "", false, "stands by: no place is free, and no member is out of touch for long enough"
	}
	if best := t.bestLearner(members, replaced, minDuration); minDuration > 0 || mayAdd {
		if best == nil || best.member.ID != request.ID {
			return "", false, "stands by: another is to have the place, or this one is too new"
		}
	}
	return replaced, mayAdd, ""
}

// onJoin handles a learner's report. The leader may let it replace a lost
// member, or add it.
func (s *Store) onJoin(ctx context.Context, _ transport.Hello, request joinRequest) (joinResponse, error) {
	s.mu.Lock()
	term, response := s.leadership, joinResponse{LeaderAddr: s.leaderAddress}
	if s.state != nil {
		response.Applied = s.appliedIndex
	}
	if term == nil {
		s.mu.Unlock()
		return response, nil
	}
	clusterID := s.state.ClusterID
	response = joinResponse{LeaderApplied: s.appliedIndex, IsMember: s.isMember(request.ID)}
	s.mu.Unlock()
	if request.ClusterID != clusterID {
		s.env.Log.Emit(event.ForeignData, "joiner", request.Addr, "mesh", request.ClusterID)
		return joinResponse{}, fault.New(fault.Refused, "joiner is of another mesh")
	}
	if response.IsMember {
		return response, nil
	}
	term.recordLearner(request)
	if !term.membershipLock.TryLock() {
		response.Reason = "another change of the members is under way"
		return response, nil
	}
	defer term.membershipLock.Unlock()
	members, wanted, index := s.members()
	replaced, mayAdd, reason := term.decideAdmission(request, members, wanted, index)
	if reason != "" {
		response.Reason = reason
		return response, nil
	}
	result, err := term.changeMembers(ctx, replaced, mayAdd, statemachine.Member{ID: request.ID, Addr: request.Addr, Zone: request.Zone, Region: request.Region})
	if err != nil {
		return joinResponse{}, err
	}
	_, _, index = s.members()
	return joinResponse{IsMember: result.Code == statemachine.OK, Reason: result.Message, LeaderApplied: index}, nil
}

// commandLevel returns the level of the commands in use.
func (s *Store) commandLevel() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Level
}

func (s *Store) members() (all []statemachine.Member, wanted int, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Members, s.state.VoterCount(), s.appliedIndex
}

// changeMembers decides a change of the members; membershipLock is held.
func (t *leadership) changeMembers(ctx context.Context, replaced string, add bool, joiner statemachine.Member) (statemachine.Result, error) {
	store := t.store
	all, _, _ := store.members()
	kind, command := "store.replace", statemachine.Command(&statemachine.ReplaceMember{Old: replaced, New: joiner})
	if add && len(all) >= 3 {
		kind, command = "store.add", &statemachine.AddMember{New: joiner}
	}
	packed, err := statemachine.Pack(kind, command)
	if err != nil {
		return statemachine.Result{}, err
	}
	result, err := t.proposeGuarded(ctx, packed, nil, t.heldByMajority(withReplaced(all, replaced, joiner)))
	if err == nil && result.Code == statemachine.OK {
		for _, o := range all {
			if o.ID == replaced && o.Addr != joiner.Addr {
				store.mu.Lock()
				store.replacedAt[o.Addr] = time.Now()
				store.mu.Unlock()
			}
		}
		store.env.Log.Emit(event.Replaced, "old", replaced, "new", joiner.ID, "addr", joiner.Addr)
	}
	return result, err
}
