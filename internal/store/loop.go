package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
)

// run is the main loop. It takes the next step of the current role.
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

// wait sleeps for a time, or until wakeLoop is called.
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

// wakeLoop ends the wait of the main loop; with campaign, a follower starts an
// election at once.
func (s *Store) wakeLoop(campaign bool) {
	s.mu.Lock()
	s.campaignNow = s.campaignNow || campaign
	if s.interruptWait != nil {
		s.interruptWait()
	}
	s.mu.Unlock()
}

// handlePause is called after a gap in the ticks: another store may have
// become the leader during the pause.
func (s *Store) handlePause(gap time.Duration) {
	s.env.Log.Emit(event.Paused, "ms", gap.Milliseconds())
	s.stepDown("frozen")
}
