// Package fsm wraps the state machines of the project: explicit states and
// one function, Fire, for every change of state.
package fsm

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// Move is one allowed change: from a state, by a trigger, to a state.
type Move struct{ From, By, To string }

// Machine is a set of states with a listener for each change.
type Machine struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// New makes a machine; heed is told of each change that was made.
func New(initial string, onTransition func(from, by, to string), moves ...Move) *Machine {
	machine := stateless.NewStateMachineWithMode(initial, stateless.FiringImmediate)
	for _, move := range moves {
		machine.Configure(move.From).Permit(move.By, move.To)
	}
	if onTransition != nil {
		machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
			onTransition(t.Source.(string), t.Trigger.(string), t.Destination.(string))
		})
	}
	return &Machine{machine: machine}
}

// Fire is the one way to change the state; false means that the trigger has
// no meaning in the state that stands, and nothing changed.
func (s *Machine) Fire(trigger string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, err := s.machine.CanFire(trigger); err != nil || !ok {
		return false
	}
	return s.machine.Fire(trigger) == nil
}

// Is tells whether a state stands.
func (s *Machine) Is(names ...string) bool {
	current := s.Current()
	for _, name := range names {
		if current == name {
			return true
		}
	}
	return false
}

// Current gives the state that stands.
func (s *Machine) Current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.MustState().(string)
}
