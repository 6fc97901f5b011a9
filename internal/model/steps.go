package model

// Breach is a fault seeded into the model, which the invariants must find.
type Breach string

// The breaches.
const (
	Sound               Breach = ""
	VotesAfterWipe      Breach = "an emptied replica votes under its old identity"
	WrongMembers        Breach = "votes and acknowledgements count over members learned meanwhile"
	ForgetsPromise      Breach = "a snapshot forgets the promise and what was accepted above it"
	LeavesEarly         Breach = "a member leaves before the others hold all"
	ReadsAlone          Breach = "a leader reads without asking a majority"
	ForgetsRequests     Breach = "a snapshot forgets the requests that were answered"
	CutVotes            Breach = "a vote is cut without a word"
	ChangesEarly        Breach = "members change before a majority of the new ones holds all"
	KeepsVotesAsOutcast Breach = "a replica that lost its place keeps its identity"
)

// rules are the steps that are allowed.
type rules struct {
	config Config
	breach Breach
}

func (r *rules) stand(s *State, i int) bool {
	n := &s.nodes[i]
	if s.rounds == 0 || n.role != follower || !r.members(n.log, n.applied).has(n.id) {
		return false
	}
	s.rounds--
	s.round++
	n.forgetRole()
	n.role, n.ballot = candidate, ballotOf(s.round, uint8(i))
	return true
}

// vote gives a candidate a promise, with what the voter applied and accepted.
func (r *rules) vote(s *State, i, j int) bool {
	c, v := &s.nodes[i], &s.nodes[j]
	if c.role != candidate || v.id == 0 || v.promise >= c.ballot || c.voters&(1<<j) != 0 {
		return false
	}
	if !r.members(c.log, c.applied).has(v.id) || !r.members(v.log, v.applied).has(v.id) {
		return false
	}
	v.promise = c.ballot
	if v.role != follower && i != j {
		v.forgetRole()
	}
	c.voters |= 1 << j
	told := uint8(0)
	for slot := range uint8(slots) {
		if slot < v.applied || v.ballots[slot] == 0 {
			continue
		}
		if told++; told > 1 && r.breach == CutVotes {
			break
		}
		if v.ballots[slot] > c.bestBy[slot] {
			c.best[slot], c.bestBy[slot] = v.log[slot], v.ballots[slot]
		}
	}
	for c.applied < v.applied {
		r.applyAt(c, v.log[c.applied])
	}
	return true
}

// applyAt applies a value; who stands or leads by the votes of other members than
// those of now must be elected anew.
func (r *rules) applyAt(n *node, value uint8) {
	n.apply(value)
	if value&changeBit != 0 && r.breach != WrongMembers {
		n.forgetRole()
	}
}

func (r *rules) elect(s *State, i int) bool {
	c := &s.nodes[i]
	m := r.members(c.log, c.applied)
	if c.role != candidate || m.count(s, c.voters) < m.need() {
		return false
	}
	c.role, c.won = leader, c.applied
	return true
}

// free tells whether a leader may propose what it likes for its next slot.
func (n *node) free() bool {
	return n.role == leader && n.now == noValue && n.applied < slots && n.bestBy[n.applied] == 0
}

func (r *rules) command(s *State, i int, value uint8) bool {
	l := &s.nodes[i]
	if !l.free() {
		return false
	}
	for _, n := range s.nodes {
		for slot, v := range n.log {
			if v != value || slot >= int(n.applied) && n.ballots[slot] == 0 {
				continue
			}
			// It was sent before: its sender got no answer, and sends it again.
			if s.resends == 0 {
				return false
			}
			s.resends--
			l.now, l.acks = value, 0
			return true
		}
	}
	l.now, l.acks = value, 0
	return true
}

func (r *rules) again(s *State, i int) bool {
	l := &s.nodes[i]
	if l.role != leader || l.now != noValue || l.applied >= slots || l.bestBy[l.applied] == 0 {
		return false
	}
	l.now, l.acks = l.best[l.applied], 0
	return true
}

// replace proposes that a node's identity takes the place of a member's.
func (r *rules) replace(s *State, i, j int, old uint8) bool {
	l, joiner := &s.nodes[i], &s.nodes[j]
	if !l.free() || s.changes == 0 || joiner.id == 0 || joiner.id > 7 {
		return false
	}
	m := r.members(l.log, l.applied)
	if !m.has(old) || m.has(joiner.id) {
		return false
	}
	after := m
	for k := range after {
		if after[k] == old {
			after[k] = joiner.id
		}
	}
	if r.breach != ChangesEarly && after.count(s, s.holders(l.applied)) < after.need() {
		return false
	}
	s.changes--
	l.now, l.acks = change(old, joiner.id), 0
	return true
}

// holders is the mask of the nodes that have applied so many slots.
func (s *State) holders(applied uint8) (mask uint8) {
	for i, n := range s.nodes {
		if n.id != 0 && !n.gone && n.applied >= applied {
			mask |= 1 << i
		}
	}
	return mask
}

func (r *rules) accept(s *State, i, j int, answered bool) bool {
	l, v := &s.nodes[i], &s.nodes[j]
	if l.role != leader || l.now == noValue || v.id == 0 || v.promise > l.ballot || v.applied > l.applied || l.acks&(1<<j) != 0 {
		return false
	}
	if !r.members(l.log, l.applied).has(v.id) || !r.members(v.log, v.applied).has(v.id) {
		return false
	}
	if !answered && (!r.config.Lossy || v.ballots[l.applied] == l.ballot) {
		return false
	}
	v.promise = l.ballot
	v.log[l.applied], v.ballots[l.applied] = l.now, l.ballot
	if answered {
		l.acks |= 1 << j
	}
	return true
}

func (r *rules) choose(s *State, i int) bool {
	l := &s.nodes[i]
	m := r.members(l.log, l.applied)
	if l.role != leader || l.now == noValue || m.count(s, l.acks) < m.need() {
		return false
	}
	slot, value := l.applied, l.now
	if s.chosen[slot] == noValue {
		s.chosen[slot] = value
	} else if s.chosen[slot] != value {
		s.chosen[slot] = 0xff // two values: check finds it
	}
	l.now, l.acks = noValue, 0
	r.applyAt(l, value)
	return true
}
