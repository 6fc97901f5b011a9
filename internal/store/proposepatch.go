package store

import "puffincrank/internal/statemachine"

// allSupport tells whether all who vote, and those who stand by, know a level of
// the commands, each by its newest word in this term: one that stops at a
// command that it doesn't know would be lost to the others.
func (t *leadership) allSupport(level int) bool {
	members, _, _ := t.store.members()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.ID != t.store.acceptor.Identity().ID && t.contacts[m.ID].commandLevel < level {
			return false
		}
	}
	for _, l := range t.learners {
		if l.commandLevel < level {
			return false
		}
	}
	return true
}

// usePatch puts the first document of a batch as the step from the one that
// stands, which is all that changes from entry to entry of most. Those
// after it begin at another document, and stay whole. learn is held.
func (t *leadership) usePatch(batch []*proposal) {
	for _, o := range batch {
		switch o.command.(type) {
		case *statemachine.Propose, *statemachine.Decide:
			return
		case *statemachine.SetConfig, *statemachine.SetNumberedConfig:
			if !t.allSupport(statemachine.LevelSteps) {
				return
			}
			t.store.mu.Lock()
			current := t.store.state.Config()
			t.store.mu.Unlock()
			if command := statemachine.AsPatch(o.command, current); command != nil {
				if packed, err := statemachine.Pack("config.step", command); err == nil {
					o.packed = packed
				}
			}
			return
		}
	}
}
