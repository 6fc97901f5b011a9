package store

import (
	"time"

	"puffincrank/internal/statemachine"
)

// batchCommands returns the commands of a batch, and the position of each
// proposal's own command among them. Some commands are preceded by another one
// in the same entry, so that nothing is applied between the two. All of them
// are commands that every version of the program applies alike. applyLock is
// held.
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

// lockPrelude expires a lock that is acquired after its time to live. A lock
// that its owner acquires again is released first, so that it gets a new
// fence: a delayed release or renewal under the old fence then has no effect.
// A request to keep the fence (Same) is a renewal. mu is held.
func (s *Store) lockPrelude(queued *proposal, acquire *statemachine.AcquireLock, now time.Time, add func(string, statemachine.Command)) {
	if expire := s.expiredLock(acquire.Name, now); expire != nil {
		add("lock.expire", expire)
		return
	}
	lock, held := s.state.Locks[acquire.Name]
	if !held || lock.Owner != acquire.Owner || acquire.KeepFence {
		return
	}
	// The owner keeps the time that it already counts on.
	acquire.TTL = max(acquire.TTL, lock.TTL)
	if packed, err := statemachine.Pack("lock.take", acquire); err == nil {
		queued.packed = packed
		add("lock.free", &statemachine.ReleaseLock{Name: acquire.Name, Owner: acquire.Owner, Fence: lock.Fence})
	}
}
