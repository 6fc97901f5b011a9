package store

import (
	"time"

	"puffincrank/internal/statemachine"
)

// batchCommands gives the commands of a batch, and where each offer's own stands among
// them. Some are led in by another command in the same entry, so that nothing
// comes between the two; all are commands that every version of the program
// applies alike. learn is held.
func (s *Store) batchCommands(batch []*proposal) (cmds statemachine.Batch, mine []int) {
	now := time.Now()
	add := func(kind string, c statemachine.Command) {
		if p, err := statemachine.Pack(kind, c); err == nil {
			cmds = append(cmds, p)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		if in, ok := o.in.(*statemachine.AcquireLock); ok && !in.Renew {
			s.lockPrelude(o, in, now, add)
		}
		mine = append(mine, len(cmds))
		cmds = append(cmds, o.cmd)
	}
	for kind, c := range s.trimCommands(now) {
		add(kind, c)
	}
	return cmds, mine
}

// lockPrelude ends a lock that is asked for after its time. One that its owner
// acquires again is given back first, so that it has a new fence: a release or
// renewal of the old one, held up on its way, then does nothing. One that asks
// to keep its fence is a renewal. mu is held.
func (s *Store) lockPrelude(o *proposal, in *statemachine.AcquireLock, now time.Time, add func(string, statemachine.Command)) {
	if c := s.expiredLock(in.Name, now); c != nil {
		add("lock.expire", c)
		return
	}
	l, held := s.state.Locks[in.Name]
	if !held || l.Owner != in.Owner || in.KeepFence {
		return
	}
	// Nor does this take time away from what the owner may count on.
	in.TTL = max(in.TTL, l.TTL)
	if p, err := statemachine.Pack("lock.take", in); err == nil {
		o.cmd = p
		add("lock.free", &statemachine.ReleaseLock{Name: in.Name, Owner: in.Owner, Fence: l.Fence})
	}
}
