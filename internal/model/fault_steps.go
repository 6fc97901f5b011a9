package model

// learn gives node j the next entry that node i has applied.
func (r *rules) learn(s *State, i, j int) bool {
	source, n := &s.nodes[i], &s.nodes[j]
	// A leader applies only entries that it found chosen itself.
	if n.id == 0 || n.role == roleLeader || source.id == 0 || source.applied <= n.applied {
		return false
	}
	r.applyEntry(n, source.log[n.applied])
	return true
}

// install gives node j a snapshot of node i. The node keeps its promise and the
// entries it accepted above the snapshot. An empty node first gets a new identity.
func (r *rules) install(s *State, i, j int) bool {
	source, n := &s.nodes[i], &s.nodes[j]
	if source.id == 0 || n.role == roleLeader || n.id != 0 && source.applied < n.applied+2 {
		return false
	}
	if n.id == 0 {
		if s.nextID > 7 {
			return false
		}
		*n = node{id: s.nextID}
		s.nextID++
	}
	before := r.members(n.log, n.applied)
	copy(n.log[:source.applied], source.log[:source.applied])
	for index := range source.applied {
		n.ballots[index] = 0
	}
	n.applied, n.completed, n.executions = source.applied, source.completed, source.executions
	if r.defect == ForgetsPromise {
		n.promised = 0
		for index := source.applied; index < logLength; index++ {
			n.log[index], n.ballots[index] = noValue, 0
		}
	}
	if r.defect == ForgetsRequests {
		n.completed = 0
	}
	if r.members(n.log, n.applied) != before && r.defect != QuorumOfNewMembers {
		n.resetVolatile()
	}
	return true
}

// crash restarts the process of a candidate or leader, which loses its volatile
// state. For a follower the step would change nothing.
func (r *rules) crash(s *State, i int) bool {
	if s.crashes == 0 || s.nodes[i].role == roleFollower {
		return false
	}
	s.crashes--
	s.nodes[i].resetVolatile()
	return true
}

// loseDisk erases a node's disk, which leaves it empty and without an identity.
func (r *rules) loseDisk(s *State, i int) bool {
	n := &s.nodes[i]
	if s.wipes == 0 || n.id == 0 {
		return false
	}
	s.wipes--
	id := n.id
	*n = node{}
	if r.defect == VotesAfterWipe {
		n.id = id
	}
	return true
}

// leave removes a node and its disk in a planned way. It is allowed once a quorum of
// the members, without this node, has applied every chosen entry, so that no copy
// that is needed is lost. A node that was replaced just before must have applied
// that change.
func (r *rules) leave(s *State, i int) bool {
	n := &s.nodes[i]
	if s.leaves == 0 || n.id == 0 {
		return false
	}
	chosenCount := s.chosenCount()
	members := r.members(s.chosen, chosenCount)
	if !members.contains(n.id) && n.applied < chosenCount {
		return false
	}
	// The leader allows a node to leave only while it has no proposal in progress. A
	// change that an earlier leader proposed is settled by then, since the current
	// leader has filled its index.
	if s.changePending(chosenCount) {
		return false
	}
	others := s.nodesApplied(chosenCount) &^ (1 << i)
	if r.defect != LeavesEarly && members.count(s, others) < members.quorum() {
		return false
	}
	s.leaves--
	s.departedIDs |= 1 << n.id
	*n = node{departed: true}
	return true
}

// changePending reports whether any node proposes or has accepted a membership
// change that is not chosen.
func (s *State) changePending(chosenCount uint8) bool {
	for _, n := range s.nodes {
		if n.proposal&changeBit != 0 {
			return true
		}
		for index := chosenCount; index < logLength; index++ {
			if n.ballots[index] != 0 && n.log[index]&changeBit != 0 {
				return true
			}
		}
	}
	return false
}

// takeNewIdentity gives a replica a new identity once a quorum of the members that
// it knows of has reported that it was removed from the membership.
func (r *rules) takeNewIdentity(s *State, i int) bool {
	n := &s.nodes[i]
	members := r.members(n.log, n.applied)
	if n.id == 0 || !members.contains(n.id) || s.nextID > 7 || r.defect == KeepsIdentityAfterRemoval {
		return false
	}
	informed := uint8(0)
	for j, other := range s.nodes {
		if members.contains(other.id) && other.applied >= n.applied && !r.members(other.log, other.applied).contains(n.id) {
			informed |= 1 << j
		}
	}
	if members.count(s, informed) < members.quorum() {
		return false
	}
	n.id, n.promised = s.nextID, 0
	s.nextID++
	for index := n.applied; index < logLength; index++ {
		n.log[index], n.ballots[index] = noValue, 0
	}
	n.resetVolatile()
	return true
}

// chosenCount returns the number of chosen entries.
func (s *State) chosenCount() uint8 {
	n := uint8(0)
	for n < logLength && s.chosen[n] != noValue {
		n++
	}
	return n
}
