package store

import "puffincrank/internal/statemachine"

// versed tells whether all who vote, and those who stand by, know a level of
// the commands, each by its newest word in this term: one that stops at a
// command that it doesn't know would be lost to the others.
func (t *leadership) versed(level int) bool {
	all, _, _ := t.s.members()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range all {
		if m.ID != t.s.acc.Identity().ID && t.contacts[m.ID].knows < level {
			return false
		}
	}
	for _, sp := range t.learners {
		if sp.knows < level {
			return false
		}
	}
	return true
}

// shorten puts the first document of a batch as the step from the one that
// stands, which is all that changes from entry to entry of most. Those
// after it begin at another document, and stay whole. learn is held.
func (t *leadership) shorten(batch []*proposal) {
	for _, o := range batch {
		switch o.in.(type) {
		case *statemachine.Propose, *statemachine.Decide:
			return
		case *statemachine.SetConfig, *statemachine.SetNumberedConfig:
			if !t.versed(statemachine.LevelPatches) {
				return
			}
			t.s.mu.Lock()
			now := t.s.state.Config()
			t.s.mu.Unlock()
			if c := statemachine.AsPatch(o.in, now); c != nil {
				if p, err := statemachine.Pack("config.step", c); err == nil {
					o.cmd = p
				}
			}
			return
		}
	}
}
