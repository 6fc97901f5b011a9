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
		s.e.PollSettings()
		from := time.Now()
		s.wait(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if gap := time.Since(from); gap > wait+s.Settings.PauseThreshold() {
			s.resumed(gap)
		}
		switch s.role.Current() {
		case "empty", "spare":
			wait = s.joinStep(ctx)
		case "follow":
			wait = s.followStep(ctx)
		default:
			s.watchDisk()
			wait = s.Settings.HeartbeatInterval()
		}
	}
}

// wait waits for a time, or until something happens that the loop must act on.
func (s *Store) wait(ctx context.Context, wait time.Duration) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	s.mu.Lock()
	s.wake = end
	at := s.campaignNow && s.role.Is("follow")
	s.mu.Unlock()
	if wait > 0 && !at {
		s.e.Sleep(ctx, wait)
	}
}

// wakeLoop ends the wait of the loop of life; with again it stands at once.
func (s *Store) wakeLoop(again bool) {
	s.mu.Lock()
	s.campaignNow = s.campaignNow || again
	if s.wake != nil {
		s.wake()
	}
	s.mu.Unlock()
}

// resumed is called after a gap in the ticks: a role held before it may be
// somebody else's by now.
func (s *Store) resumed(gap time.Duration) {
	s.e.Log.Emit(event.Paused, "ms", gap.Milliseconds())
	s.stepDown("frozen")
}
