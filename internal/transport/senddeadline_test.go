package transport_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// TestSendDeadline checks that a call queued on a full link is withdrawn at its send
// deadline, though its context has a minute left, and is never delivered. A call that was
// sent by then gets its response, however late.
func TestSendDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		var received atomic.Int64
		transport.Handle(pair.server, "keep", func(_ context.Context, _ transport.Hello, message ping) (ping, error) {
			received.Add(1)
			<-time.After(3 * time.Second)
			return ping{N: message.N}, nil
		})
		pair.net.LimitHost("h1", megabit)
		send := func(size int, limit time.Duration) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), time.Minute)
			defer cancel()
			start := time.Now()
			_, err := transport.Call[ping](transport.WithSendDeadline(ctx, start.Add(limit)), pair.client, "h2:1", "keep", ping{Body: make([]byte, size)})
			return time.Since(start), err
		}
		if elapsed, err := send(100, 500*time.Millisecond); err != nil || elapsed < 3*time.Second {
			t.Errorf("the call that was sent in time ended after %v: %v", elapsed, err)
		}
		first := make(chan error, 1)
		go func() {
			_, err := send(800_000, time.Minute)
			first <- err
		}()
		<-time.After(100 * time.Millisecond)
		for range 3 {
			elapsed, err := send(100_000, time.Second)
			if retryAfter, full := transport.IsLinkFull(err); !full || retryAfter <= 0 || !fault.Is(err, fault.Unsent) || elapsed > 1100*time.Millisecond {
				t.Errorf("the queued call ended after %v, retry after %v: %v", elapsed, retryAfter, err)
			}
		}
		if err := <-first; err != nil {
			t.Error(err)
		}
		<-time.After(10 * time.Second)
		if n := received.Load(); n != 2 {
			t.Errorf("%d calls were received, want 2", n)
		}
	})
}
