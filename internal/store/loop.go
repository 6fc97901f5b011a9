package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
)

// run is the one loop that moves the role on.
func (s *Store) run(ctx context.Context) {
	wait := time.Duration(0)
	for {
		s.env.PollSettings()
		started := time.Now()
		s.wait(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if gap := time.Since(started); gap > wait+s.Settings.PauseThreshold() {
			s.handlePause(gap)
		}
		switch s.role.Current() {
		case "empty", "spare":
			wait = s.joinStep(ctx)
		case "follow":
			wait = s.followStep(ctx)
		default:
			s.checkDisk()
			wait = s.Settings.HeartbeatInterval()
		}
	}
}

// wait waits for a time, or until something happens that the loop must act on.
func (s *Store) wait(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.interruptWait = cancel
	immediate := s.campaignNow && s.role.Is("follow")
	s.mu.Unlock()
	if wait > 0 && !immediate {
		s.env.Sleep(ctx, wait)
	}
}

// wakeLoop ends the wait of the loop of life; with again it stands at once.
func (s *Store) wakeLoop(campaign bool) {
	s.mu.Lock()
	s.campaignNow = s.campaignNow || campaign
	if s.interruptWait != nil {
		s.interruptWait()
	}
	s.mu.Unlock()
}

// handlePause is called after a gap in the ticks: a role held before it may be
// somebody else's by now.
func (s *Store) handlePause(gap time.Duration) {
	s.env.Log.Emit(event.Paused, "ms", gap.Milliseconds())
	s.stepDown("frozen")
}
