package model

import "fmt"

// check describes the first invariant that a state violates; "" means none.
func (r *rules) check(s *State) string {
	chosenCount := s.chosenCount()
	for index := range chosenCount {
		if s.chosen[index] == 0xff {
			return fmt.Sprintf("log index %d has two chosen values", index)
		}
	}
	for i := range s.nodes {
		if violation := r.checkNode(s, i, chosenCount); violation != "" {
			return violation
		}
	}
	return r.checkReplication(s, chosenCount)
}

// checkNode checks that a node applied only chosen values, executed no command twice
// and cannot serve a stale read.
func (r *rules) checkNode(s *State, i int, chosenCount uint8) string {
	n := &s.nodes[i]
	for index := range n.applied {
		if n.log[index] != s.chosen[index] {
			return fmt.Sprintf("%d applied another value at index %d than was chosen", i, index)
		}
	}
	for v, times := range n.executions {
		if times > 1 {
			return fmt.Sprintf("command %d was executed twice at %d", v+1, i)
		}
	}
	if r.mayRead(s, i) && n.applied < chosenCount {
		return fmt.Sprintf("%d may answer a read with %d of %d entries", i, n.applied, chosenCount)
	}
	return ""
}

// mayRead reports whether a node may answer a read now. It must be the leader, must
// have re-proposed and applied every entry that its voters had accepted, and a
// quorum must confirm that it still leads.
func (r *rules) mayRead(s *State, i int) bool {
	leader := &s.nodes[i]
	if leader.role != roleLeader {
		return false
	}
	for index := leader.applied; index < logLength; index++ {
		if leader.highestBallots[index] != 0 {
			return false
		}
	}
	if r.defect == ReadsWithoutQuorum {
		return true
	}
	members := r.members(leader.log, leader.applied)
	mask := uint8(0)
	for j, n := range s.nodes {
		if n.id != 0 && n.promised <= leader.ballot {
			mask |= 1 << j
		}
	}
	return members.count(s, mask) >= members.quorum()
}

// checkReplication checks that every chosen entry has enough copies among the current
// members: counting members that have lost their disk as holders, a quorum must hold
// it. The newest membership change may be held by a quorum of the previous members
// only, until the new members have learned it.
func (r *rules) checkReplication(s *State, chosenCount uint8) string {
	now := r.members(s.chosen, chosenCount)
	for index := range chosenCount {
		if s.survivesLoss(now, index) {
			continue
		}
		before := r.members(s.chosen, index)
		if s.chosen[index]&changeBit != 0 && r.members(s.chosen, index+1) == now && s.survivesLoss(before, index) {
			continue
		}
		return fmt.Sprintf("too few members hold the entry at index %d", index)
	}
	return ""
}

// survivesLoss reports whether enough of these members have an entry on their disks.
// At least one copy must exist. A member whose disk is lost counts as a holder; one
// that left in a planned way does not.
func (s *State) survivesLoss(members memberSet, index uint8) bool {
	unaccounted, copies := members.quorum()*2-1, 0
	for _, id := range members {
		if id != 0 && s.departedIDs&(1<<id) != 0 {
			unaccounted--
		}
	}
	for _, n := range s.nodes {
		if !members.contains(n.id) {
			continue
		}
		unaccounted--
		if n.applied > index || n.ballots[index] != 0 && n.log[index] == s.chosen[index] {
			copies++
		}
	}
	return copies > 0 && copies+unaccounted >= members.quorum()
}
