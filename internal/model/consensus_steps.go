package model

// Defect is a bug that can be seeded into the model. The invariants must detect it.
type Defect string

// The defects that can be seeded.
const (
	NoDefect                  Defect = ""
	VotesAfterWipe            Defect = "an emptied replica votes under its old identity"
	QuorumOfNewMembers        Defect = "votes and acknowledgements count over members learned meanwhile"
	ForgetsPromise            Defect = "a snapshot forgets the promise and what was accepted above it"
	LeavesEarly               Defect = "a member leaves before the others hold all"
	ReadsWithoutQuorum        Defect = "a leader reads without asking a majority"
	ForgetsRequests           Defect = "a snapshot forgets the requests that were answered"
	TruncatesVotes            Defect = "a vote is cut without a word"
	ChangesEarly              Defect = "members change before a majority of the new ones holds all"
	KeepsIdentityAfterRemoval Defect = "a replica that lost its place keeps its identity"
)

// rules decide which steps are possible in a state. Their methods take positions in
// State.nodes, modify the state and return false if the step is not possible.
type rules struct {
	config Config
	defect Defect
}

// startElection makes a follower a candidate under a new ballot, if it is a member.
func (r *rules) startElection(s *State, i int) bool {
	n := &s.nodes[i]
	if s.elections == 0 || n.role != roleFollower || !r.members(n.log, n.applied).contains(n.id) {
		return false
	}
	s.elections--
	s.round++
	n.resetVolatile()
	n.role, n.ballot = roleCandidate, ballotOf(s.round, uint8(i))
	return true
}

// vote gives candidate i the promise of voter j, together with the entries that the
// voter has applied and accepted.
func (r *rules) vote(s *State, i, j int) bool {
	candidate, voter := &s.nodes[i], &s.nodes[j]
	if candidate.role != roleCandidate || voter.id == 0 || voter.promised >= candidate.ballot || candidate.voters&(1<<j) != 0 {
		return false
	}
	if !r.members(candidate.log, candidate.applied).contains(voter.id) || !r.members(voter.log, voter.applied).contains(voter.id) {
		return false
	}
	voter.promised = candidate.ballot
	if voter.role != roleFollower && i != j {
		voter.resetVolatile()
	}
	candidate.voters |= 1 << j
	reported := uint8(0)
	for index := range uint8(logLength) {
		if index < voter.applied || voter.ballots[index] == 0 {
			continue
		}
		if reported++; reported > 1 && r.defect == TruncatesVotes {
			break
		}
		if voter.ballots[index] > candidate.highestBallots[index] {
			candidate.highestValues[index], candidate.highestBallots[index] = voter.log[index], voter.ballots[index]
		}
	}
	for candidate.applied < voter.applied {
		r.applyEntry(candidate, voter.log[candidate.applied])
	}
	return true
}

// applyEntry applies a value. After a membership change a candidate or leader loses
// its role, since the old membership elected it and it must be elected again.
func (r *rules) applyEntry(n *node, value uint8) {
	n.apply(value)
	if value&changeBit != 0 && r.defect != QuorumOfNewMembers {
		n.resetVolatile()
	}
}

// winElection makes a candidate the leader once a quorum has voted for it.
func (r *rules) winElection(s *State, i int) bool {
	candidate := &s.nodes[i]
	members := r.members(candidate.log, candidate.applied)
	if candidate.role != roleCandidate || members.count(s, candidate.voters) < members.quorum() {
		return false
	}
	candidate.role, candidate.electedAt = roleLeader, candidate.applied
	return true
}

// canProposeNew reports whether a node is a leader that is free to choose the value
// of its next index: none of its voters accepted one there.
func (n *node) canProposeNew() bool {
	return n.role == roleLeader && n.proposal == noValue && n.applied < logLength && n.highestBallots[n.applied] == 0
}

// proposeCommand makes leader i propose a client command at its next index.
func (r *rules) proposeCommand(s *State, i int, value uint8) bool {
	leader := &s.nodes[i]
	if !leader.canProposeNew() {
		return false
	}
	for _, n := range s.nodes {
		for index, v := range n.log {
			if v != value || index >= int(n.applied) && n.ballots[index] == 0 {
				continue
			}
			// The command was proposed before; its client got no reply and retries.
			if s.resends == 0 {
				return false
			}
			s.resends--
			leader.proposal, leader.acks = value, 0
			return true
		}
	}
	leader.proposal, leader.acks = value, 0
	return true
}

// repropose makes leader i propose again, at its next index, the value that its
// voters accepted under the highest ballot.
func (r *rules) repropose(s *State, i int) bool {
	leader := &s.nodes[i]
	if leader.role != roleLeader || leader.proposal != noValue || leader.applied >= logLength || leader.highestBallots[leader.applied] == 0 {
		return false
	}
	leader.proposal, leader.acks = leader.highestValues[leader.applied], 0
	return true
}

// proposeReplacement makes leader i propose that the identity of node j replaces the
// member old. A quorum of the new members must have applied all that the leader has.
func (r *rules) proposeReplacement(s *State, i, j int, old uint8) bool {
	leader, joiner := &s.nodes[i], &s.nodes[j]
	if !leader.canProposeNew() || s.changes == 0 || joiner.id == 0 || joiner.id > 7 {
		return false
	}
	members := r.members(leader.log, leader.applied)
	if !members.contains(old) || members.contains(joiner.id) {
		return false
	}
	after := members
	for k := range after {
		if after[k] == old {
			after[k] = joiner.id
		}
	}
	if r.defect != ChangesEarly && after.count(s, s.nodesApplied(leader.applied)) < after.quorum() {
		return false
	}
	s.changes--
	leader.proposal, leader.acks = encodeChange(old, joiner.id), 0
	return true
}

// nodesApplied returns a bit mask of the nodes that have applied at least this many
// entries.
func (s *State) nodesApplied(applied uint8) (mask uint8) {
	for i, n := range s.nodes {
		if n.id != 0 && !n.departed && n.applied >= applied {
			mask |= 1 << i
		}
	}
	return mask
}

// accept makes node j accept the proposal of leader i. The reply reaches the leader
// if replied is set, and is lost otherwise.
func (r *rules) accept(s *State, i, j int, replied bool) bool {
	leader, acceptor := &s.nodes[i], &s.nodes[j]
	if leader.role != roleLeader || leader.proposal == noValue || acceptor.id == 0 || acceptor.promised > leader.ballot || acceptor.applied > leader.applied || leader.acks&(1<<j) != 0 {
		return false
	}
	if !r.members(leader.log, leader.applied).contains(acceptor.id) || !r.members(acceptor.log, acceptor.applied).contains(acceptor.id) {
		return false
	}
	if !replied && (!r.config.Lossy || acceptor.ballots[leader.applied] == leader.ballot) {
		return false
	}
	acceptor.promised = leader.ballot
	acceptor.log[leader.applied], acceptor.ballots[leader.applied] = leader.proposal, leader.ballot
	if replied {
		leader.acks |= 1 << j
	}
	return true
}

// choose makes leader i count its proposal as chosen, once a quorum accepted it, and
// apply it.
func (r *rules) choose(s *State, i int) bool {
	leader := &s.nodes[i]
	members := r.members(leader.log, leader.applied)
	if leader.role != roleLeader || leader.proposal == noValue || members.count(s, leader.acks) < members.quorum() {
		return false
	}
	index, value := leader.applied, leader.proposal
	if s.chosen[index] == noValue {
		s.chosen[index] = value
	} else if s.chosen[index] != value {
		s.chosen[index] = 0xff // marks two chosen values, which check reports
	}
	leader.proposal, leader.acks = noValue, 0
	r.applyEntry(leader, value)
	return true
}
