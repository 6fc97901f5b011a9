package model

import (
	"fmt"
	"strings"
)

// stepKind is what a step does.
type stepKind uint8

// The kinds of steps. The fields i and j of a step are positions in State.nodes; k
// is an identity or a command.
const (
	startsElection stepKind = iota
	winsElection
	chooses
	crashes
	losesDisk
	leaves
	takesNewIdentity
	proposes
	reproposes
	votes
	accepts
	acceptsReplyLost
	learns
	installs
	proposesReplacement
)

var stepFormats = map[stepKind]string{
	startsElection: "%d starts an election", winsElection: "%d is elected", chooses: "%d finds its proposal chosen", crashes: "%d restarts its process", losesDisk: "%d loses its disk",
	leaves: "%d leaves", takesNewIdentity: "%d was removed and takes a new identity", proposes: "%[1]d proposes command %[3]d",
	reproposes: "%d re-proposes the accepted value", votes: "%[2]d votes for %[1]d", accepts: "%[2]d accepts from %[1]d",
	acceptsReplyLost: "%[2]d accepts from %[1]d, the reply is lost", learns: "%[2]d learns the next entry from %[1]d",
	installs: "%[2]d installs a snapshot of %[1]d", proposesReplacement: "%[1]d proposes that %[2]d replaces identity %[3]d",
}

// step identifies a step by its kind and arguments.
type step struct {
	kind    stepKind
	i, j, k uint8
}

// String describes the step for a failure report.
func (s step) String() string {
	text := fmt.Sprintf(stepFormats[s.kind], s.i, s.j, s.k)
	if at := strings.Index(text, "%!(EXTRA"); at >= 0 {
		text = text[:at]
	}
	return text
}

// transition is a step and the state that it leads to.
type transition struct {
	step  step
	state State
}

// transitions returns every step that is possible in a state.
func (r *rules) transitions(s *State) (transitions []transition) {
	n := r.config.Voters + r.config.Spares
	tryStep := func(action step) {
		after := *s
		if r.execute(&after, action) {
			transitions = append(transitions, transition{action, after})
		}
	}
	for i := range uint8(n) {
		for _, k := range []stepKind{startsElection, winsElection, chooses, crashes, losesDisk, leaves, takesNewIdentity, reproposes} {
			tryStep(step{kind: k, i: i})
		}
		for v := uint8(1); v <= r.config.Commands; v++ {
			tryStep(step{kind: proposes, i: i, k: v})
		}
		for j := range uint8(n) {
			for _, k := range []stepKind{votes, accepts, acceptsReplyLost, learns, installs} {
				tryStep(step{kind: k, i: i, j: j})
			}
			for old := uint8(1); old <= uint8(n); old++ {
				tryStep(step{kind: proposesReplacement, i: i, j: j, k: old})
			}
		}
	}
	return transitions
}

// execute applies a step to a state, or returns false if the step is not possible in
// it.
func (r *rules) execute(s *State, action step) bool {
	i, j := int(action.i), int(action.j)
	if s.nodes[i].departed || s.nodes[j].departed {
		return false
	}
	switch action.kind {
	case startsElection:
		return r.startElection(s, i)
	case winsElection:
		return r.winElection(s, i)
	case chooses:
		return r.choose(s, i)
	case crashes:
		return r.crash(s, i)
	case losesDisk:
		return r.loseDisk(s, i)
	case leaves:
		return r.leave(s, i)
	case takesNewIdentity:
		return r.takeNewIdentity(s, i)
	case reproposes:
		return r.repropose(s, i)
	case proposes:
		return r.proposeCommand(s, i, action.k)
	case votes:
		return r.vote(s, i, j)
	case accepts, acceptsReplyLost:
		return r.accept(s, i, j, action.kind == accepts)
	case learns:
		return i != j && r.learn(s, i, j)
	case installs:
		return i != j && r.install(s, i, j)
	case proposesReplacement:
		return r.proposeReplacement(s, i, j, action.k)
	}
	return false
}
