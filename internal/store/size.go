package store

import (
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/statemachine"
)

// stateWarnPercent is the part of the bound on the state, in percent, from
// which on operators are warned.
const stateWarnPercent = 80

// recordSize records the size of the packed state; mu is held.
func (s *Store) recordSize(size int) {
	s.stateBytes, s.logBytes = size, 0
}

// recordGrowth records an applied batch: the state grows by its size at most;
// mu is held.
func (s *Store) recordGrowth(batch int) { s.logBytes += batch }

// maxStateSize returns an upper bound on the size of the packed state; mu is
// held.
func (s *Store) maxStateSize() int { return s.stateBytes + s.logBytes }

// mayGrow reports whether a command may make the state larger. Commands that
// free space, or that the control plane itself depends on, are accepted
// however large the state is.
func mayGrow(command statemachine.Command) bool {
	switch command := command.(type) {
	case *statemachine.SetConfig, *statemachine.SetNumberedConfig, *statemachine.Propose, *statemachine.PutKey, *statemachine.PutGroupKey, *statemachine.NextNumber:
		return true
	case *statemachine.AcquireLock:
		return !command.Renew
	}
	return false
}

// fits reports whether a command may be proposed without the state exceeding
// its bound. Near the bound the state is measured again, since much of what
// was applied replaced something else. applyLock is held.
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

// warnIfLarge warns of a state that is close to its bound; mu is held.
func (s *Store) warnIfLarge(bound int) {
	size := s.maxStateSize()
	if size*100 < bound*stateWarnPercent || time.Since(s.sizeWarnedAt) < s.Settings.RecoveryBound {
		return
	}
	s.sizeWarnedAt = time.Now()
	s.env.Log.Emit(event.StateLarge, "bytes", size, "bound", bound)
}

// dropOversized returns the proposals of a batch that fit the state, and
// refuses the others, of which nothing is applied. applyLock is held.
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
