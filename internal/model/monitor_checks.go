package model

import (
	"slices"

	"puffincrank/internal/trace"
)

// checkPromised checks that a replica's promises never decrease, and records what the
// replica had accepted and applied at that time.
func (m *Monitor) checkPromised(s trace.Promised) {
	r := m.replica(s.Replica)
	if s.Ballot.Less(r.promised) {
		m.addViolation("%s promised %v after %v", s.Replica, s.Ballot, r.promised)
	}
	r.promised = s.Ballot
	accepted := map[uint64]entry{}
	for index, e := range r.accepted {
		accepted[index] = e
	}
	if m.votes[s.Ballot] == nil {
		m.votes[s.Ballot] = map[string]vote{}
	}
	m.votes[s.Ballot][s.Replica] = vote{accepted, r.applied}
}

// checkAccepted checks that a replica accepts only an entry that was proposed, and
// under no ballot below its promise.
func (m *Monitor) checkAccepted(s trace.Accepted) {
	r := m.replica(s.Replica)
	if s.Ballot.Less(r.promised) {
		m.addViolation("%s accepted index %d under %v after it promised %v", s.Replica, s.Index, s.Ballot, r.promised)
	}
	if digest, ok := m.proposed[proposal{s.Ballot, s.Index}]; !ok || digest != s.Digest {
		m.addViolation("%s accepted an entry at index %d that nobody proposed under %v", s.Replica, s.Index, s.Ballot)
	}
	r.promised = s.Ballot
	r.accepted[s.Index] = entry{s.Ballot, s.Digest}
}

// checkElected checks that the votes are promises of a majority of the members. The
// membership is the one after the last entry that the leader has applied.
func (m *Monitor) checkElected(s trace.Elected) {
	if s.Ballot.Candidate != s.Replica {
		m.addViolation("%s counts the votes for %v", s.Replica, s.Ballot)
	}
	m.checkMembers(s.Replica, s.Index, s.Members)
	if !isMajority(s.Voters, s.Members) {
		m.addViolation("%s leads under %v with the votes of %v among %v", s.Replica, s.Ballot, s.Voters, s.Members)
	}
	for _, v := range s.Voters {
		if _, ok := m.votes[s.Ballot][v]; !ok {
			m.addViolation("%s counts a vote of %s under %v that was not given", s.Replica, v, s.Ballot)
		}
	}
	m.trustInitial = false
	m.terms[s.Ballot] = term{s.Replica, s.Index, slices.Clone(s.Voters)}
}

// checkProposed checks that a leader proposes only one entry for an index, that no
// voter of its had already applied that index, and that the entry is the one that its
// voters accepted under the highest ballot, if any.
func (m *Monitor) checkProposed(s trace.Proposed) {
	t, won := m.terms[s.Ballot]
	if !won || t.leader != s.Replica {
		m.addViolation("%s proposed index %d under %v, which it did not win", s.Replica, s.Index, s.Ballot)
	}
	if digest, ok := m.proposed[proposal{s.Ballot, s.Index}]; ok && digest != s.Digest {
		m.addViolation("%s proposed two entries for index %d under %v", s.Replica, s.Index, s.Ballot)
	}
	m.proposed[proposal{s.Ballot, s.Index}] = s.Digest
	var highest entry
	for _, v := range t.voters {
		promise := m.votes[s.Ballot][v]
		if e, ok := promise.accepted[s.Index]; ok && highest.ballot.Less(e.ballot) {
			highest = e
		}
		if promise.applied >= s.Index {
			m.addViolation("%s proposed index %d under %v, which its voter %s had applied", s.Replica, s.Index, s.Ballot, v)
		}
	}
	if highest.digest != "" && highest.digest != s.Digest {
		m.addViolation("%s proposed another entry for index %d under %v than the one accepted under %v", s.Replica, s.Index, s.Ballot, highest.ballot)
	}
}

// checkChosen checks that a majority of the members at that index accepted the entry.
func (m *Monitor) checkChosen(s trace.Chosen) {
	members := m.members[s.Index-1]
	if !isMajority(s.Acceptors, members) {
		m.addViolation("index %d was chosen by %v among %v", s.Index, s.Acceptors, members)
	}
	for _, a := range s.Acceptors {
		// A replica that applied the entry through a later leader holds it as well.
		if e := m.replica(a).accepted[s.Index]; e.digest != s.Digest && m.replica(a).applied < s.Index {
			m.addViolation("index %d was chosen by %s, which did not accept it", s.Index, a)
		}
	}
	m.recordChosen(s.Index, s.Digest)
}

// recordChosen records the entry chosen at an index and checks that it is the only one.
func (m *Monitor) recordChosen(index uint64, digest string) {
	if old, ok := m.chosen[index]; ok && old != digest {
		m.addViolation("index %d has two chosen entries", index)
	}
	m.chosen[index] = digest
	m.lastChosen = max(m.lastChosen, index)
}

// checkApplied checks that a replica applies only chosen entries, in order and without
// gaps.
func (m *Monitor) checkApplied(s trace.Applied) {
	r := m.replica(s.Replica)
	if s.Index != r.applied+1 {
		m.addViolation("%s applied index %d after %d", s.Replica, s.Index, r.applied)
	}
	if m.trustInitial {
		m.recordChosen(s.Index, s.Digest)
	}
	if digest, ok := m.chosen[s.Index]; !ok || digest != s.Digest {
		m.addViolation("%s applied an entry at index %d that was not chosen", s.Replica, s.Index)
	}
	r.applied = s.Index
	m.checkChange(s.Index, s.Members)
	m.checkMembers(s.Replica, s.Index, s.Members)
}

// checkChange checks, when the first replica applies a membership change, that a
// majority of the new members has applied all earlier entries.
func (m *Monitor) checkChange(index uint64, after []string) {
	before, known := m.members[index-1]
	if _, seen := m.members[index]; seen || !known || slices.Equal(before, after) {
		return
	}
	var upToDate []string
	for _, id := range after {
		if m.replica(id).applied >= index-1 {
			upToDate = append(upToDate, id)
		}
	}
	if !isMajority(upToDate, after) {
		m.addViolation("index %d makes %v the members, of whom only %v hold what was chosen before", index, after, upToDate)
	}
}

// checkState checks and records the state that a replica starts with or installs from
// a snapshot. A state without members belongs to an empty replica.
func (m *Monitor) checkState(id string, index uint64, digest string, members []string) {
	if len(members) == 0 {
		return
	}
	if m.trustInitial {
		m.recordChosen(index, digest)
	}
	if old, ok := m.chosen[index]; index > 0 && ok && old != digest {
		m.addViolation("%s holds another entry at index %d than was chosen", id, index)
	}
	if _, ok := m.chosen[index]; index > 0 && !ok {
		m.addViolation("%s holds index %d, which was not chosen", id, index)
	}
	m.replica(id).applied = index
	m.checkMembers(id, index, members)
}

// checkMembers checks that all replicas have the same membership after an index.
func (m *Monitor) checkMembers(id string, index uint64, members []string) {
	old, ok := m.members[index]
	if !ok {
		m.members[index] = slices.Clone(members)
		return
	}
	if !slices.Equal(old, members) {
		m.addViolation("%s has %v as the members after index %d, others %v", id, members, index, old)
	}
}

// checkReadRound checks that a read after a confirmed round sees every entry that was
// chosen before the round began.
func (m *Monitor) checkReadRound(s trace.RoundConfirmed) {
	round := readRound{s.Replica, s.Round}
	if required := m.readRounds[round]; s.Index < required {
		m.addViolation("%s may read at index %d, though %d was chosen before it asked a majority", s.Replica, s.Index, required)
	}
	delete(m.readRounds, round)
}

// checkLeft checks that a replica leaves in a planned way only when a majority of the
// members holds the last chosen entry without it; of two members, the other one must. A
// replica that was replaced may have an older state, since entries chosen after the
// change concern the new members only.
func (m *Monitor) checkLeft(s trace.Left) {
	members := m.members[m.lastChosen]
	required := len(members)/2 + 1
	if slices.Contains(members, s.Replica) {
		required = min(required, len(members)-1)
	}
	var upToDate []string
	for _, id := range members {
		if id != s.Replica && m.hasOnDisk(id, m.lastChosen) {
			upToDate = append(upToDate, id)
		}
	}
	if len(upToDate) < required {
		m.addViolation("%s left while only %v hold index %d", s.Replica, upToDate, m.lastChosen)
	}
}

// hasOnDisk reports whether a replica has applied or accepted the entry chosen at an
// index, both of which are durable.
func (m *Monitor) hasOnDisk(id string, index uint64) bool {
	r := m.replica(id)
	return r.applied >= index || r.accepted[index].digest == m.chosen[index]
}

// isMajority reports whether subset contains more than half of the members.
func isMajority(subset, members []string) bool {
	n := 0
	for _, id := range members {
		if slices.Contains(subset, id) {
			n++
		}
	}
	return n > len(members)/2
}
