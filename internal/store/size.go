package store

import (
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/statemachine"
)

// stateWarnPercent is the part of the bound on the state, in percent, from which on
// operators are warned.
const stateWarnPercent = 80

// recordSize notes how large the packed state is; mu is held.
func (s *Store) recordSize(size int) {
	s.stateBytes, s.logBytes = size, 0
}

// recordGrowth notes an applied batch: the state is larger by no more than it; mu is
// held.
func (s *Store) recordGrowth(batch int) { s.logBytes += batch }

// maxStateSize is what the packed state has at the most, mu is held.
func (s *Store) maxStateSize() int { return s.stateBytes + s.logBytes }

// mayGrow tells whether a command may make the state larger. Whatever frees room,
// or keeps the core itself going, is taken however full it is.
func mayGrow(command statemachine.Command) bool {
	switch command := command.(type) {
	case *statemachine.SetConfig, *statemachine.SetNumberedConfig, *statemachine.Propose, *statemachine.PutKey, *statemachine.PutGroupKey, *statemachine.NextNumber:
		return true
	case *statemachine.AcquireLock:
		return !command.Renew
	}
	return false
}

// fits tells whether a command may be proposed without the state outgrowing its
// bound. Near the bound the state is measured anew, since much of what was
// applied took the place of something else. learn is held.
func (s *Store) fits(command statemachine.Command, size int) bool {
	if !mayGrow(command) {
		return true
	}
	bound := s.Settings.StateBytes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxStateSize()+size > bound && s.logBytes > 0 && time.Since(s.measuredAt) > s.Settings.HeartbeatInterval() {
		s.measuredAt = time.Now()
		_, _ = s.packState()
	}
	s.warnIfLarge(bound)
	return s.maxStateSize()+size <= bound
}

// warnIfLarge warns of a state that nears its bound; mu is held.
func (s *Store) warnIfLarge(bound int) {
	size := s.maxStateSize()
	if size*100 < bound*stateWarnPercent || time.Since(s.sizeWarnedAt) < s.Settings.RecoveryBound {
		return
	}
	s.sizeWarnedAt = time.Now()
	s.env.Log.Emit(event.StateLarge, "bytes", size, "bound", bound)
}

// dropOversized gives the commands of a batch that fit the state, and answers the
// others: nothing of them was done. learn is held.
func (s *Store) dropOversized(batch []*proposal) (accepted []*proposal) {
	size := 0
	for _, o := range batch {
		if !s.fits(o.command, size+len(o.packed.Body)) {
			o.result <- outcome{result: statemachine.Result{Code: statemachine.Full, Message: "the replicated state is at its bound"}}
			continue
		}
		size += len(o.packed.Body)
		accepted = append(accepted, o)
	}
	return accepted
}
