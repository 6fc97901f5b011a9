package transport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// TestLargeControl checks that a large control message on a slow link, such as a whole
// document or a list of all entries, delays a request by one chunk and not by its whole
// size, and that small control messages overtake both.
func TestLargeControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		_, _ = call(pair, "swap", ping{}, time.Second)
		pair.net.LimitHost("h1", megabit)
		done := make(chan error, 1)
		go func() {
			_, err := call(pair, "swap", ping{Body: make([]byte, 600_000)}, time.Minute)
			done <- err
		}()
		<-time.After(time.Second)
		for lane, bound := range map[int]time.Duration{transport.LaneControl: 300 * time.Millisecond, transport.LaneRequests: 450 * time.Millisecond} {
			for range 3 {
				start := time.Now()
				ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), lane), 5*time.Second)
				_, err := transport.Call[ping](ctx, pair.client, "h2:1", "swap", ping{N: 1})
				cancel()
				if elapsed := time.Since(start); err != nil || elapsed > bound {
					t.Errorf("on lane %d: %v after %v", lane, err, elapsed)
				}
			}
		}
		if len(done) > 0 {
			t.Error("the large message completed before the small calls did")
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
