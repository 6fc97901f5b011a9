package store

import "puffincrank/internal/statemachine"

// allSupport reports whether all members and learners understand a level of
// commands, by the newest report of each in this term: a replica that stops at
// a command that it does not know would be lost to the others.
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

// usePatch replaces the first document of a batch by a patch from the current
// one, since most entries change only a small part. Later documents of the
// batch are based on another document, and stay whole. applyLock is held.
func (t *leadership) usePatch(batch []*proposal) {
	for _, o := range batch {
		switch o.command.(type) {
		case *statemachine.Propose, *statemachine.Decide:
			return
		case *statemachine.SetConfig, *statemachine.SetNumberedConfig:
			if !t.allSupport(statemachine.LevelPatches) {
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
