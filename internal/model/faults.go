package model

// learn gives a node the next entry that another has applied.
func (r *rules) learn(s *State, i, j int) bool {
	from, n := &s.nodes[i], &s.nodes[j]
	// A leader extends its state by what it decides alone.
	if n.id == 0 || n.role == leader || from.id == 0 || from.applied <= n.applied {
		return false
	}
	r.applyAt(n, from.log[n.applied])
	return true
}

// install gives a node another's whole state. What it promised, and accepted
// above the snapshot, stays. An empty one gets a new identity first.
func (r *rules) install(s *State, i, j int) bool {
	from, n := &s.nodes[i], &s.nodes[j]
	if from.id == 0 || n.role == leader || n.id != 0 && from.applied < n.applied+2 {
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
	copy(n.log[:from.applied], from.log[:from.applied])
	for slot := range from.applied {
		n.ballots[slot] = 0
	}
	n.applied, n.answers, n.effects = from.applied, from.answers, from.effects
	if r.breach == ForgetsPromise {
		n.promise = 0
		for slot := from.applied; slot < slots; slot++ {
			n.log[slot], n.ballots[slot] = noValue, 0
		}
	}
	if r.breach == ForgetsRequests {
		n.answers = 0
	}
	if r.members(n.log, n.applied) != before && r.breach != WrongMembers {
		n.forgetRole()
	}
	return true
}

func (r *rules) crash(s *State, i int) bool {
	if s.crashes == 0 || s.nodes[i].role == follower {
		return false
	}
	s.crashes--
	s.nodes[i].forgetRole()
	return true
}

// wipe loses a disk. The replica is empty, and has no identity.
func (r *rules) wipe(s *State, i int) bool {
	n := &s.nodes[i]
	if s.wipes == 0 || n.id == 0 {
		return false
	}
	s.wipes--
	id := n.id
	*n = node{}
	if r.breach == VotesAfterWipe {
		n.id = id
	}
	return true
}

// leave ends a replica with its disk, by a plan: once the others hold all that is
// chosen, by a majority of those who vote, so that it is no loss. It may have had
// its place taken just before; then it knows of that change.
func (r *rules) leave(s *State, i int) bool {
	n := &s.nodes[i]
	if s.leaves == 0 || n.id == 0 {
		return false
	}
	newest := s.newest()
	m := r.members(s.chosen, newest)
	if !m.has(n.id) && n.applied < newest {
		return false
	}
	// The leader answers with nothing under way, and what another proposed before
	// is over by then: its slot is the leader's.
	if s.changing(newest) {
		return false
	}
	others := s.holders(newest) &^ (1 << i)
	if r.breach != LeavesEarly && m.count(s, others) < m.need() {
		return false
	}
	s.leaves--
	s.left |= 1 << n.id
	*n = node{gone: true}
	return true
}

// changing tells whether any node has accepted, or proposes, a change of the
// members that was not chosen.
func (s *State) changing(newest uint8) bool {
	for _, n := range s.nodes {
		if n.now&changeBit != 0 {
			return true
		}
		for slot := newest; slot < slots; slot++ {
			if n.ballots[slot] != 0 && n.log[slot]&changeBit != 0 {
				return true
			}
		}
	}
	return false
}

// outcast gives a replica a new identity once a majority of the members that it
// knows tells it that it has lost its place.
func (r *rules) outcast(s *State, i int) bool {
	n := &s.nodes[i]
	m := r.members(n.log, n.applied)
	if n.id == 0 || !m.has(n.id) || s.nextID > 7 || r.breach == KeepsVotesAsOutcast {
		return false
	}
	out := uint8(0)
	for j, o := range s.nodes {
		if m.has(o.id) && o.applied >= n.applied && !r.members(o.log, o.applied).has(n.id) {
			out |= 1 << j
		}
	}
	if m.count(s, out) < m.need() {
		return false
	}
	n.id, n.promise = s.nextID, 0
	s.nextID++
	for slot := n.applied; slot < slots; slot++ {
		n.log[slot], n.ballots[slot] = noValue, 0
	}
	n.forgetRole()
	return true
}

// newest is how many slots were chosen.
func (s *State) newest() uint8 {
	n := uint8(0)
	for n < slots && s.chosen[n] != noValue {
		n++
	}
	return n
}
