package model

// The model of the agreement. A step stands for what one replica does with one
// message, or for one fault; a message that is late, doubled or lost is a step
// that is taken later, again or never. Whatever order the steps are taken in, the
// invariants in check.go must hold.

// The bounds of the model.
const (
	maxNodes   = 6
	maxMembers = 5
	slots      = 3
	values     = 2 // commands of clients, numbered from 1
)

// The roles of a node, which it loses when its process ends.
const (
	follower = iota
	candidate
	leader
)

// A value of a slot is a client's command, or a change of the members.
const (
	noValue   = 0
	changeBit = 0x80 // then three bits each for the old and the new identity
)

func change(old, joiner uint8) uint8 { return changeBit | old<<3 | joiner }

// ballotOf makes ballots that are ordered by round, and differ between nodes.
func ballotOf(round, node uint8) uint8 { return round*8 + node + 1 }

// node is one replica: what is on its disk, and what its process knows.
type node struct {
	id      uint8 // 0 for an empty disk
	promise uint8
	applied uint8         // how many slots it has applied
	log     [slots]uint8  // the values it has applied, then those it accepted
	ballots [slots]uint8  // the ballots by which it accepted, 0 for none
	answers uint8         // which commands it remembers as done
	effects [values]uint8 // how often each command took effect in its state
	gone    bool          // it left for good

	role   uint8
	ballot uint8        // that it stands for or leads under
	voters uint8        // the nodes whose votes it counts
	won    uint8        // the slot count at which it was elected
	best   [slots]uint8 // the value accepted under the highest ballot by its voters
	bestBy [slots]uint8 // that ballot
	now    uint8        // the value that it proposes for its next slot
	acks   uint8        // the nodes that accepted it
}

// State is one state of the model. States are compared as a whole.
type State struct {
	nodes   [maxNodes]node
	chosen  [slots]uint8 // what was ever chosen; for the invariants alone
	round   uint8        // of the newest ballot
	nextID  uint8
	wipes   uint8 // what is left of each budget
	crashes uint8
	changes uint8
	leaves  uint8
	resends uint8
	rounds  uint8
	left    uint8 // the identities that left by a plan, by bit
}

// Config bounds an exploration.
type Config struct {
	Voters, Spares                                      int
	Commands                                            uint8 // of clients, values at the most
	Lossy                                               bool  // answers may be lost
	Wipes, Crashes, Changes, Leaves, Resends, Elections uint8
}

// first is the state of a cluster that was just founded and has a leader.
func first(c Config) State {
	s := State{round: 1, wipes: c.Wipes, crashes: c.Crashes, changes: c.Changes, leaves: c.Leaves, resends: c.Resends, rounds: c.Elections}
	for i := range c.Voters + c.Spares {
		s.nextID++
		s.nodes[i].id = s.nextID
	}
	s.nextID++
	l := &s.nodes[0]
	l.role, l.ballot = leader, ballotOf(1, 0)
	for i := range c.Voters/2 + 1 {
		s.nodes[i].promise = l.ballot
		l.voters |= 1 << i
	}
	return s
}

// memberSet is a sorted row of identities; 0 ends it.
type memberSet [maxMembers]uint8

// members gives the members after so many slots of a log.
func (r *rules) members(log [slots]uint8, applied uint8) memberSet {
	var out memberSet
	for i := range r.config.Voters {
		out[i] = uint8(i + 1)
	}
	for _, v := range log[:applied] {
		if v&changeBit == 0 {
			continue
		}
		old, joiner := v>>3&7, v&7
		for i := range out {
			if out[i] == old {
				out[i] = joiner
			}
		}
	}
	return out
}

func (m memberSet) has(id uint8) bool {
	if id == 0 {
		return false
	}
	for _, x := range m {
		if x == id {
			return true
		}
	}
	return false
}

func (m memberSet) need() int {
	n := 0
	for _, x := range m {
		if x != 0 {
			n++
		}
	}
	return n/2 + 1
}

// count tells how many nodes of a mask are members.
func (m memberSet) count(s *State, mask uint8) (n int) {
	for i := range s.nodes {
		if mask&(1<<i) != 0 && m.has(s.nodes[i].id) {
			n++
		}
	}
	return n
}

// apply runs the next value of a log at a node: a command that is remembered as
// done has no effect again.
func (n *node) apply(value uint8) {
	n.log[n.applied] = value
	n.ballots[n.applied] = 0
	n.applied++
	if value == noValue || value&changeBit != 0 {
		return
	}
	if bit := uint8(1) << value; n.answers&bit == 0 {
		n.answers |= bit
		n.effects[value-1]++
	}
}

// forgetRole ends what the process knows beside its disk.
func (n *node) forgetRole() {
	n.role, n.ballot, n.voters, n.won, n.now, n.acks = follower, 0, 0, 0, 0, 0
	n.best, n.bestBy = [slots]uint8{}, [slots]uint8{}
}
