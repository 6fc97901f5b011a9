package model

import (
	"fmt"
	"strings"
)

// kind is what a step does.
type kind uint8

// The kinds of steps; i, j and k name nodes, k an identity or a command.
const (
	stands kind = iota
	elected
	chooses
	crashes
	wipes
	leaves
	ousted
	proposes
	repeats
	votes
	accepts
	acceptsUnheard
	learns
	installs
	replaces
)

var kindNames = map[kind]string{
	stands: "%d stands", elected: "%d is elected", chooses: "%d chooses", crashes: "%d's process ends", wipes: "%d loses its disk",
	leaves: "%d leaves", ousted: "%d finds that it lost its place", proposes: "%[1]d proposes command %[3]d",
	repeats: "%d proposes again what was accepted", votes: "%[2]d votes for %[1]d", accepts: "%[2]d accepts from %[1]d",
	acceptsUnheard: "%[2]d accepts from %[1]d, the answer is lost", learns: "%[2]d learns from %[1]d",
	installs: "%[2]d installs a snapshot of %[1]d", replaces: "%[1]d proposes that %[2]d takes the place of identity %[3]d",
}

// label names a step.
type label struct {
	kind    kind
	i, j, k uint8
}

// String tells the step in words.
func (l label) String() string {
	text := fmt.Sprintf(kindNames[l.kind], l.i, l.j, l.k)
	if at := strings.Index(text, "%!(EXTRA"); at >= 0 {
		text = text[:at]
	}
	return text
}

// move is a step with the state after it.
type move struct {
	label label
	state State
}

// next lists the steps that can be taken in a state.
func (r *rules) next(s *State) (out []move) {
	n := r.config.Voters + r.config.Spares
	take := func(l label) {
		after := *s
		if r.do(&after, l) {
			out = append(out, move{l, after})
		}
	}
	for i := range uint8(n) {
		for _, k := range []kind{stands, elected, chooses, crashes, wipes, leaves, ousted, repeats} {
			take(label{kind: k, i: i})
		}
		for v := uint8(1); v <= r.config.Commands; v++ {
			take(label{kind: proposes, i: i, k: v})
		}
		for j := range uint8(n) {
			for _, k := range []kind{votes, accepts, acceptsUnheard, learns, installs} {
				take(label{kind: k, i: i, j: j})
			}
			for old := uint8(1); old <= uint8(n); old++ {
				take(label{kind: replaces, i: i, j: j, k: old})
			}
		}
	}
	return out
}

// do takes a step; false means that it can't be taken.
func (r *rules) do(s *State, l label) bool {
	i, j := int(l.i), int(l.j)
	if s.nodes[i].gone || s.nodes[j].gone {
		return false
	}
	switch l.kind {
	case stands:
		return r.stand(s, i)
	case elected:
		return r.elect(s, i)
	case chooses:
		return r.choose(s, i)
	case crashes:
		return r.crash(s, i)
	case wipes:
		return r.wipe(s, i)
	case leaves:
		return r.leave(s, i)
	case ousted:
		return r.outcast(s, i)
	case repeats:
		return r.again(s, i)
	case proposes:
		return r.command(s, i, l.k)
	case votes:
		return r.vote(s, i, j)
	case accepts, acceptsUnheard:
		return r.accept(s, i, j, l.kind == accepts)
	case learns:
		return i != j && r.learn(s, i, j)
	case installs:
		return i != j && r.install(s, i, j)
	case replaces:
		return r.replace(s, i, j, l.k)
	}
	return false
}
