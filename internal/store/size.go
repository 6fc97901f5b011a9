package store

import (
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/statemachine"
)

// largeState is the part of the bound on the state, in percent, from which on
// operators are warned.
const largeState = 80

// measured notes how large the packed state is; mu is held.
func (s *Store) measured(size int) {
	s.stateBytes, s.logBytes = size, 0
}

// grown notes an applied batch: the state is larger by no more than it; mu is
// held.
func (s *Store) grown(batch int) { s.logBytes += batch }

// upperSize is what the packed state has at the most, mu is held.
func (s *Store) upperSize() int { return s.stateBytes + s.logBytes }

// grows tells whether a command may make the state larger. Whatever frees room,
// or keeps the core itself going, is taken however full it is.
func grows(c statemachine.Command) bool {
	switch c := c.(type) {
	case *statemachine.SetConfig, *statemachine.SetNumberedConfig, *statemachine.Propose, *statemachine.PutKey, *statemachine.PutGroupKey, *statemachine.NextNumber:
		return true
	case *statemachine.AcquireLock:
		return !c.Renew
	}
	return false
}

// fits tells whether a command may be proposed without the state outgrowing its
// bound. Near the bound the state is measured anew, since much of what was
// applied took the place of something else. learn is held.
func (s *Store) fits(c statemachine.Command, size int) bool {
	if !grows(c) {
		return true
	}
	bound := s.Settings.StateBytes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upperSize()+size > bound && s.logBytes > 0 && time.Since(s.weighed) > s.Settings.HeartbeatInterval() {
		s.weighed = time.Now()
		_, _ = s.packState()
	}
	s.warnLarge(bound)
	return s.upperSize()+size <= bound
}

// warnLarge warns of a state that nears its bound; mu is held.
func (s *Store) warnLarge(bound int) {
	size := s.upperSize()
	if size*100 < bound*largeState || time.Since(s.warnedLarge) < s.Settings.RecoveryBound {
		return
	}
	s.warnedLarge = time.Now()
	s.e.Log.Emit(event.StateLarge, "bytes", size, "bound", bound)
}

// withinSize gives the commands of a batch that fit the state, and answers the
// others: nothing of them was done. learn is held.
func (s *Store) withinSize(batch []*proposal) (out []*proposal) {
	size := 0
	for _, o := range batch {
		if !s.fits(o.in, size+len(o.cmd.Body)) {
			o.result <- outcome{receipt: statemachine.Result{Code: statemachine.Full, Message: "the replicated state is at its bound"}}
			continue
		}
		size += len(o.cmd.Body)
		out = append(out, o)
	}
	return out
}
