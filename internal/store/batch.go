package store

import (
	"time"

	"puffincrank/internal/statemachine"
)

// batchCommands gives the commands of a batch, and where each offer's own stands among
// them. Some are led in by another command in the same entry, so that nothing
// comes between the two; all are commands that every version of the program
// applies alike. learn is held.
func (s *Store) batchCommands(batch []*proposal) (commands statemachine.Batch, positions []int) {
	now := time.Now()
	add := func(kind string, command statemachine.Command) {
		if packed, err := statemachine.Pack(kind, command); err == nil {
			commands = append(commands, packed)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		if acquire, ok := o.command.(*statemachine.AcquireLock); ok && !acquire.Renew {
			s.lockPrelude(o, acquire, now, add)
		}
		positions = append(positions, len(commands))
		commands = append(commands, o.packed)
	}
	for kind, command := range s.trimCommands(now) {
		add(kind, command)
	}
	return commands, positions
}

// lockPrelude ends a lock that is asked for after its time. One that its owner
// acquires again is given back first, so that it has a new fence: a release or
// renewal of the old one, held up on its way, then does nothing. One that asks
// to keep its fence is a renewal. mu is held.
func (s *Store) lockPrelude(queued *proposal, acquire *statemachine.AcquireLock, now time.Time, add func(string, statemachine.Command)) {
	if expire := s.expiredLock(acquire.Name, now); expire != nil {
		add("lock.expire", expire)
		return
	}
	lock, held := s.state.Locks[acquire.Name]
	if !held || lock.Owner != acquire.Owner || acquire.Same {
		return
	}
	// Nor does this take time away from what the owner may count on.
	acquire.TTL = max(acquire.TTL, lock.TTL)
	if packed, err := statemachine.Pack("lock.take", acquire); err == nil {
		queued.packed = packed
		add("lock.free", &statemachine.ReleaseLock{Name: acquire.Name, Owner: acquire.Owner, Fence: lock.Fence})
	}
}
