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

// TestDue: a call that waits for a full link is taken back at its time, though
// it has a minute left, and its fellow never gets it; one that went out by then
// has its receipt after all, however late.
func TestDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		var came atomic.Int64
		transport.Handle(p.b, "keep", func(_ context.Context, _ transport.Hello, in ping) (ping, error) {
			came.Add(1)
			<-time.After(3 * time.Second)
			return ping{N: in.N}, nil
		})
		p.net.Thin("h1", megabit)
		send := func(size int, by time.Duration) (time.Duration, error) {
			ctx, end := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), time.Minute)
			defer end()
			from := time.Now()
			_, err := transport.Call[ping](transport.WithSendDeadline(ctx, from.Add(by)), p.a, "h2:1", "keep", ping{Body: make([]byte, size)})
			return time.Since(from), err
		}
		if took, err := send(100, 500*time.Millisecond); err != nil || took < 3*time.Second {
			t.Errorf("what had gone out ended after %v: %v", took, err)
		}
		first := make(chan error, 1)
		go func() {
			_, err := send(800_000, time.Minute)
			first <- err
		}()
		<-time.After(100 * time.Millisecond)
		for range 3 {
			took, err := send(100_000, time.Second)
			if come, full := transport.IsLinkFull(err); !full || come <= 0 || !fault.Is(err, fault.Unsent) || took > 1100*time.Millisecond {
				t.Errorf("what waited ended after %v, to come after %v: %v", took, come, err)
			}
		}
		if err := <-first; err != nil {
			t.Error(err)
		}
		<-time.After(10 * time.Second)
		if n := came.Load(); n != 2 {
			t.Errorf("%d calls came, want 2", n)
		}
	})
}
