package model

// This file holds the state of the consensus model. A step is one replica handling
// one message, or one fault. A message that is delayed, duplicated or lost is a
// step that is taken later, again or never. The invariants in invariants.go must
// hold for every order of steps.

// The bounds of the model.
const (
	maxNodes    = 6
	maxMembers  = 5
	logLength   = 3
	maxCommands = 2 // client commands, numbered from 1
)

// The roles of a node. A role is volatile: a node that restarts is a follower.
const (
	roleFollower = iota
	roleCandidate
	roleLeader
)

// The value of a log entry is a client command or a membership change.
const (
	noValue   = 0
	changeBit = 0x80 // followed by three bits each for the replaced and the new identity
)

func encodeChange(old, joiner uint8) uint8 { return changeBit | old<<3 | joiner }

// ballotOf returns a ballot number. Ballots are ordered by round, and no two nodes
// share one.
func ballotOf(round, node uint8) uint8 { return round*8 + node + 1 }

// node is one replica: first its durable state, then the volatile state of its
// process.
type node struct {
	id         uint8 // 0 for an empty disk
	promised   uint8
	applied    uint8              // number of applied entries
	log        [logLength]uint8   // applied values, followed by accepted ones
	ballots    [logLength]uint8   // ballot of each accepted entry, 0 for none
	completed  uint8              // bit mask of the commands recorded as completed
	executions [maxCommands]uint8 // how often each command was executed
	departed   bool               // it left the cluster permanently

	role           uint8
	ballot         uint8            // of its candidacy or leadership
	voters         uint8            // bit mask of the nodes that voted for it
	electedAt      uint8            // number of entries it had applied when it was elected
	highestValues  [logLength]uint8 // per index, the value its voters accepted under the highest ballot
	highestBallots [logLength]uint8 // the ballots of highestValues
	proposal       uint8            // the value it proposes for its next index
	acks           uint8            // bit mask of the nodes that accepted the proposal
}

// State is one state of the model. It is comparable, so that a search can detect
// states it has already visited.
type State struct {
	nodes       [maxNodes]node
	chosen      [logLength]uint8 // the value chosen at each index; not part of any replica's state
	round       uint8            // round of the newest ballot
	nextID      uint8
	wipes       uint8 // this and the next five are the remaining budgets of Config
	crashes     uint8
	changes     uint8
	leaves      uint8
	resends     uint8
	elections   uint8
	departedIDs uint8 // bit mask of the identities that left in a planned way
}

// Config sets the cluster's size and how often each kind of fault or step may
// occur in an exploration.
type Config struct {
	Voters, Spares                                      int
	Commands                                            uint8 // distinct client commands, at most maxCommands
	Lossy                                               bool  // replies to accept requests may be lost
	Wipes, Crashes, Changes, Leaves, Resends, Elections uint8
}

// initialState returns a newly formed cluster that has already elected node 0.
func initialState(config Config) State {
	s := State{round: 1, wipes: config.Wipes, crashes: config.Crashes, changes: config.Changes, leaves: config.Leaves, resends: config.Resends, elections: config.Elections}
	for i := range config.Voters + config.Spares {
		s.nextID++
		s.nodes[i].id = s.nextID
	}
	s.nextID++
	initialLeader := &s.nodes[0]
	initialLeader.role, initialLeader.ballot = roleLeader, ballotOf(1, 0)
	for i := range config.Voters/2 + 1 {
		s.nodes[i].promised = initialLeader.ballot
		initialLeader.voters |= 1 << i
	}
	return s
}

// memberSet lists identities. Unused places are 0 and follow the used ones.
type memberSet [maxMembers]uint8

// members returns the membership after the first applied entries of a log.
func (r *rules) members(log [logLength]uint8, applied uint8) memberSet {
	var members memberSet
	for i := range r.config.Voters {
		members[i] = uint8(i + 1)
	}
	for _, v := range log[:applied] {
		if v&changeBit == 0 {
			continue
		}
		old, joiner := v>>3&7, v&7
		for i := range members {
			if members[i] == old {
				members[i] = joiner
			}
		}
	}
	return members
}

func (m memberSet) contains(id uint8) bool {
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

func (m memberSet) quorum() int {
	n := 0
	for _, x := range m {
		if x != 0 {
			n++
		}
	}
	return n/2 + 1
}

// count returns how many of the nodes in a bit mask are members.
func (m memberSet) count(s *State, mask uint8) (n int) {
	for i := range s.nodes {
		if mask&(1<<i) != 0 && m.contains(s.nodes[i].id) {
			n++
		}
	}
	return n
}

// apply appends the next value to a node's applied log and executes it. A command
// that is recorded as completed is not executed again.
func (n *node) apply(value uint8) {
	n.log[n.applied] = value
	n.ballots[n.applied] = 0
	n.applied++
	if value == noValue || value&changeBit != 0 {
		return
	}
	if bit := uint8(1) << value; n.completed&bit == 0 {
		n.completed |= bit
		n.executions[value-1]++
	}
}

// resetVolatile clears everything that a replica does not keep on disk.
func (n *node) resetVolatile() {
	n.role, n.ballot, n.voters, n.electedAt, n.proposal, n.acks = roleFollower, 0, 0, 0, 0, 0
	n.highestValues, n.highestBallots = [logLength]uint8{}, [logLength]uint8{}
}
