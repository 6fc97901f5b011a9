// Package fsm provides finite state machines with explicit states, whose state
// changes only through Fire.
package fsm

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// Transition is an allowed transition from one state to another on a trigger.
type Transition struct{ From, Trigger, To string }

// Machine is a finite state machine. It is safe for concurrent use.
type Machine struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// New creates a machine in its initial state. If onTransition is not nil, it is called
// after each transition, with the machine locked: it must not call the machine.
func New(initial string, onTransition func(from, by, to string), moves ...Transition) *Machine {
	machine := stateless.NewStateMachineWithMode(initial, stateless.FiringImmediate)
	for _, move := range moves {
		machine.Configure(move.From).Permit(move.Trigger, move.To)
	}
	if onTransition != nil {
		machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
			onTransition(t.Source.(string), t.Trigger.(string), t.Destination.(string))
		})
	}
	return &Machine{machine: machine}
}

// Fire applies a trigger. It returns false, and leaves the state as it is, if the
// current state has no transition for the trigger.
func (s *Machine) Fire(trigger string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, err := s.machine.CanFire(trigger); err != nil || !ok {
		return false
	}
	return s.machine.Fire(trigger) == nil
}

// Is reports whether the current state is one of the given names.
func (s *Machine) Is(names ...string) bool {
	current := s.Current()
	for _, name := range names {
		if current == name {
			return true
		}
	}
	return false
}

// Current returns the current state.
func (s *Machine) Current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.MustState().(string)
}
