// Package fsm wraps the state machines of the project: explicit states and
// one function, Fire, for every change of state.
package fsm

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// Transition is one allowed change: from a state, by a trigger, to a state.
type Transition struct{ From, Trigger, To string }

// Machine is a set of states with a listener for each change.
type Machine struct {
	mu sync.Mutex
	m  *stateless.StateMachine
}

// New makes a machine; heed is told of each change that was made.
func New(first string, heed func(from, by, to string), moves ...Transition) *Machine {
	m := stateless.NewStateMachineWithMode(first, stateless.FiringImmediate)
	for _, v := range moves {
		m.Configure(v.From).Permit(v.Trigger, v.To)
	}
	if heed != nil {
		m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
			heed(t.Source.(string), t.Trigger.(string), t.Destination.(string))
		})
	}
	return &Machine{m: m}
}

// Fire is the one way to change the state; false means that the trigger has
// no meaning in the state that stands, and nothing changed.
func (s *Machine) Fire(by string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, err := s.m.CanFire(by); err != nil || !ok {
		return false
	}
	return s.m.Fire(by) == nil
}

// Is tells whether a state stands.
func (s *Machine) Is(names ...string) bool {
	now := s.Current()
	for _, n := range names {
		if now == n {
			return true
		}
	}
	return false
}

// Current gives the state that stands.
func (s *Machine) Current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.MustState().(string)
}
