package model

import (
	"slices"

	"puffincrank/internal/trace"
)

func (m *Monitor) promised(s trace.Promised) {
	r := m.of(s.Replica)
	if s.Ballot.Less(r.promised) {
		m.fault("%s promised %v after %v", s.Replica, s.Ballot, r.promised)
	}
	r.promised = s.Ballot
	copied := map[uint64]entry{}
	for slot, e := range r.accepted {
		copied[slot] = e
	}
	if m.votes[s.Ballot] == nil {
		m.votes[s.Ballot] = map[string]vote{}
	}
	m.votes[s.Ballot][s.Replica] = vote{copied, r.applied}
}

func (m *Monitor) accepted(s trace.Accepted) {
	r := m.of(s.Replica)
	if s.Ballot.Less(r.promised) {
		m.fault("%s accepted slot %d under %v after it promised %v", s.Replica, s.Index, s.Ballot, r.promised)
	}
	if sum, ok := m.proposed[proposal{s.Ballot, s.Index}]; !ok || sum != s.Digest {
		m.fault("%s accepted an entry in slot %d that nobody proposed under %v", s.Replica, s.Index, s.Ballot)
	}
	r.promised = s.Ballot
	r.accepted[s.Index] = entry{s.Ballot, s.Digest}
}

// elected checks that the votes are promises of a majority of the members, who
// are those that the slots up to the leader's newest leave.
func (m *Monitor) elected(s trace.Elected) {
	if s.Ballot.Candidate != s.Replica {
		m.fault("%s counts the votes for %v", s.Replica, s.Ballot)
	}
	m.checkMembers(s.Replica, s.Index, s.Members)
	if !majority(s.Voters, s.Members) {
		m.fault("%s leads under %v with the votes of %v among %v", s.Replica, s.Ballot, s.Voters, s.Members)
	}
	for _, v := range s.Voters {
		if _, ok := m.votes[s.Ballot][v]; !ok {
			m.fault("%s counts a vote of %s under %v that was not given", s.Replica, v, s.Ballot)
		}
	}
	m.adopting = false
	m.terms[s.Ballot] = term{s.Replica, s.Index, slices.Clone(s.Voters)}
}

// proposes checks that a leader proposes one entry for a slot, after all that is
// chosen, and the one accepted under the highest ballot by its voters.
func (m *Monitor) proposes(s trace.Proposed) {
	t, won := m.terms[s.Ballot]
	if !won || t.leader != s.Replica {
		m.fault("%s proposed slot %d under %v, which it did not win", s.Replica, s.Index, s.Ballot)
	}
	if sum, ok := m.proposed[proposal{s.Ballot, s.Index}]; ok && sum != s.Digest {
		m.fault("%s proposed two entries for slot %d under %v", s.Replica, s.Index, s.Ballot)
	}
	m.proposed[proposal{s.Ballot, s.Index}] = s.Digest
	var highest entry
	for _, v := range t.voters {
		had := m.votes[s.Ballot][v]
		if e, ok := had.accepted[s.Index]; ok && highest.ballot.Less(e.ballot) {
			highest = e
		}
		if had.applied >= s.Index {
			m.fault("%s proposed slot %d under %v, which its voter %s had applied", s.Replica, s.Index, s.Ballot, v)
		}
	}
	if highest.sum != "" && highest.sum != s.Digest {
		m.fault("%s proposed another entry for slot %d under %v than the one accepted under %v", s.Replica, s.Index, s.Ballot, highest.ballot)
	}
}

// choose checks that a majority of the members of that slot accepted the entry.
func (m *Monitor) choose(s trace.Chosen) {
	members := m.members[s.Index-1]
	if !majority(s.Acceptors, members) {
		m.fault("slot %d was chosen by %v among %v", s.Index, s.Acceptors, members)
	}
	for _, a := range s.Acceptors {
		// One that applied it by a later leader's word holds it as well.
		if e := m.of(a).accepted[s.Index]; e.sum != s.Digest && m.of(a).applied < s.Index {
			m.fault("slot %d was chosen by %s, which did not accept it", s.Index, a)
		}
	}
	m.choice(s.Index, s.Digest)
}

// choice notes the entry of a slot; there is one.
func (m *Monitor) choice(slot uint64, sum string) {
	if old, ok := m.chosen[slot]; ok && old != sum {
		m.fault("slot %d has two entries", slot)
	}
	m.chosen[slot] = sum
	m.newest = max(m.newest, slot)
}

func (m *Monitor) applied(s trace.Applied) {
	r := m.of(s.Replica)
	if s.Index != r.applied+1 {
		m.fault("%s applied slot %d after %d", s.Replica, s.Index, r.applied)
	}
	if m.adopting {
		m.choice(s.Index, s.Digest)
	}
	if sum, ok := m.chosen[s.Index]; !ok || sum != s.Digest {
		m.fault("%s applied an entry in slot %d that was not chosen", s.Replica, s.Index)
	}
	r.applied = s.Index
	m.checkChange(s.Index, s.Members)
	m.checkMembers(s.Replica, s.Index, s.Members)
}

// checkChange checks, at the first word of a slot that changes the members, that a
// majority of the new ones holds all that was chosen before.
func (m *Monitor) checkChange(slot uint64, after []string) {
	before, known := m.members[slot-1]
	if _, seen := m.members[slot]; seen || !known || slices.Equal(before, after) {
		return
	}
	var hold []string
	for _, id := range after {
		if m.of(id).applied >= slot-1 {
			hold = append(hold, id)
		}
	}
	if !majority(hold, after) {
		m.fault("slot %d makes %v the members, of whom only %v hold what was chosen before", slot, after, hold)
	}
}

// hold notes a state that a replica starts with or installs.
func (m *Monitor) hold(id string, slot uint64, sum string, members []string) {
	if len(members) == 0 {
		return
	}
	if m.adopting {
		m.choice(slot, sum)
	}
	if old, ok := m.chosen[slot]; slot > 0 && ok && old != sum {
		m.fault("%s holds another entry in slot %d than was chosen", id, slot)
	}
	if _, ok := m.chosen[slot]; slot > 0 && !ok {
		m.fault("%s holds slot %d, which was not chosen", id, slot)
	}
	m.of(id).applied = slot
	m.checkMembers(id, slot, members)
}

// checkMembers checks that all replicas have the same members after a slot.
func (m *Monitor) checkMembers(id string, slot uint64, members []string) {
	old, ok := m.members[slot]
	if !ok {
		m.members[slot] = slices.Clone(members)
		return
	}
	if !slices.Equal(old, members) {
		m.fault("%s has %v as the members after slot %d, others %v", id, members, slot, old)
	}
}

// confirmed checks that a read after the round sees all that was chosen before it
// began.
func (m *Monitor) confirmed(s trace.RoundConfirmed) {
	at := round{s.Replica, s.Round}
	if before := m.rounds[at]; s.Index < before {
		m.fault("%s may read at slot %d, though %d was chosen before it asked a majority", s.Replica, s.Index, before)
	}
	delete(m.rounds, at)
}

// left checks that a replica ended by a plan only when a majority of those who
// vote holds all without it. One whose place was taken may know of an older state
// than the newest; what was chosen after the change is the new members' own.
func (m *Monitor) left(s trace.Left) {
	members := m.members[m.newest]
	need := len(members)/2 + 1
	if slices.Contains(members, s.Replica) {
		need = min(need, len(members)-1)
	}
	var hold []string
	for _, id := range members {
		if id != s.Replica && m.holds(id, m.newest) {
			hold = append(hold, id)
		}
	}
	if len(hold) < need {
		m.fault("%s left while only %v hold slot %d", s.Replica, hold, m.newest)
	}
}

// holds tells whether a replica has what was chosen in a slot on its disk.
func (m *Monitor) holds(id string, slot uint64) bool {
	r := m.of(id)
	return r.applied >= slot || r.accepted[slot].sum == m.chosen[slot]
}

// majority tells whether the members among some are more than half of them.
func majority(some, members []string) bool {
	n := 0
	for _, id := range members {
		if slices.Contains(some, id) {
			n++
		}
	}
	return n > len(members)/2
}
