package model

import "fmt"

// check names an invariant that a state breaks, "" for none.
func (r *rules) check(s *State) string {
	newest := s.newest()
	for slot := range newest {
		if s.chosen[slot] == 0xff {
			return fmt.Sprintf("slot %d has two values", slot)
		}
	}
	for i := range s.nodes {
		if fault := r.checkNode(s, i, newest); fault != "" {
			return fault
		}
	}
	return r.checkCopies(s, newest)
}

func (r *rules) checkNode(s *State, i int, newest uint8) string {
	n := &s.nodes[i]
	for slot := range n.applied {
		if n.log[slot] != s.chosen[slot] {
			return fmt.Sprintf("%d applied another value in slot %d than was chosen", i, slot)
		}
	}
	for v, times := range n.effects {
		if times > 1 {
			return fmt.Sprintf("command %d took effect twice at %d", v+1, i)
		}
	}
	if r.mayRead(s, i) && n.applied < newest {
		return fmt.Sprintf("%d may answer a read with %d of %d slots", i, n.applied, newest)
	}
	return ""
}

// mayRead tells whether a leader may answer a read now: it has proposed again all
// that its voters had accepted, and a majority says that it still leads.
func (r *rules) mayRead(s *State, i int) bool {
	l := &s.nodes[i]
	if l.role != leader {
		return false
	}
	for slot := l.applied; slot < slots; slot++ {
		if l.bestBy[slot] != 0 {
			return false
		}
	}
	if r.breach == ReadsAlone {
		return true
	}
	m := r.members(l.log, l.applied)
	mask := uint8(0)
	for j, n := range s.nodes {
		if n.id != 0 && n.promise <= l.ballot {
			mask |= 1 << j
		}
	}
	return m.count(s, mask) >= m.need()
}

// checkCopies checks that what was chosen is held by so many members that their
// majority, less the disks that are lost at this moment, has it. The newest change
// of the members may be known to a majority of those before it alone, until the
// new ones have learned of it.
func (r *rules) checkCopies(s *State, newest uint8) string {
	now := r.members(s.chosen, newest)
	for slot := range newest {
		if s.held(now, slot) {
			continue
		}
		before := r.members(s.chosen, slot)
		if s.chosen[slot]&changeBit != 0 && r.members(s.chosen, slot+1) == now && s.held(before, slot) {
			continue
		}
		return fmt.Sprintf("too few members hold slot %d", slot)
	}
	return ""
}

// held tells whether enough of these members have a slot on their disks. One that
// left by a plan is no loss.
func (s *State) held(m memberSet, slot uint8) bool {
	lost, copies := m.need()*2-1, 0
	for _, id := range m {
		if id != 0 && s.left&(1<<id) != 0 {
			lost--
		}
	}
	for _, n := range s.nodes {
		if !m.has(n.id) {
			continue
		}
		lost--
		if n.applied > slot || n.ballots[slot] != 0 && n.log[slot] == s.chosen[slot] {
			copies++
		}
	}
	return copies > 0 && copies+lost >= m.need()
}
