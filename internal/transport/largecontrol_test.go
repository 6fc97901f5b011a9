package transport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// TestLargeControl: a whole document, or all entries, on its way over a thin
// link holds up a job for a piece, not for itself; small control passes both.
func TestLargeControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		_, _ = ask(p, "swap", ping{}, time.Second)
		p.net.Thin("h1", megabit)
		done := make(chan error, 1)
		go func() {
			_, err := ask(p, "swap", ping{Body: make([]byte, 600_000)}, time.Minute)
			done <- err
		}()
		<-time.After(time.Second)
		for lane, bound := range map[int]time.Duration{transport.LaneControl: 300 * time.Millisecond, transport.LaneRequests: 450 * time.Millisecond} {
			for range 3 {
				at := time.Now()
				ctx, end := context.WithTimeout(transport.WithLane(context.Background(), lane), 5*time.Second)
				_, err := transport.Call[ping](ctx, p.a, "h2:1", "swap", ping{N: 1})
				end()
				if took := time.Since(at); err != nil || took > bound {
					t.Errorf("by lane %d: %v after %v", lane, err, took)
				}
			}
		}
		if len(done) > 0 {
			t.Error("the large one was too quick to show anything")
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
