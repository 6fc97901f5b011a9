package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
)

// life is the one loop that moves the role on.
func (s *Store) life(ctx context.Context) {
	wait := time.Duration(0)
	for {
		s.e.Looks()
		from := time.Now()
		s.rest(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if gap := time.Since(from); gap > wait+s.P.Gap() {
			s.thaw(gap)
		}
		switch s.role.Now() {
		case "empty", "spare":
			wait = s.fill(ctx)
		case "follow":
			wait = s.follow(ctx)
		default:
			s.mind()
			wait = s.P.Beat()
		}
	}
}

// rest waits for a time, or until something happens that the loop must act on.
func (s *Store) rest(ctx context.Context, wait time.Duration) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	s.mu.Lock()
	s.rouse = end
	at := s.again && s.role.Is("follow")
	s.mu.Unlock()
	if wait > 0 && !at {
		s.e.Pause(ctx, wait)
	}
}

// kick ends the wait of the loop of life; with again it stands at once.
func (s *Store) kick(again bool) {
	s.mu.Lock()
	s.again = s.again || again
	if s.rouse != nil {
		s.rouse()
	}
	s.mu.Unlock()
}

// thaw is called after a gap in the ticks: a duty held before it may be
// somebody else's by now.
func (s *Store) thaw(gap time.Duration) {
	s.e.Log.Emit(event.Froze, "ms", gap.Milliseconds())
	s.depose("frozen")
}
