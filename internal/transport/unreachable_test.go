package transport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

const silenceTimeout = 500 * time.Millisecond // of the nodes of newNodePair

// TestUnreachablePeer checks what happens when a peer becomes unreachable during a call
// with a long deadline. The call ends by the silence timeout and not by its own deadline,
// new calls fail early as unsent, and what the partition held up is dropped when it heals.
func TestUnreachablePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		if _, err := call(pair, "ping", ping{}, time.Second); err != nil {
			t.Fatal(err)
		}
		<-time.After(10 * time.Second)
		pair.net.Isolate("h2", true)
		before, start := pair.handled.Load(), time.Now()
		result := make(chan error)
		go func() {
			_, err := call(pair, "ping", ping{}, 12*time.Second)
			result <- err
		}()
		// Between the suspicion and the end of the link.
		<-time.After(silenceTimeout + silenceTimeout/5)
		callStart := time.Now()
		if _, err := call(pair, "ping", ping{}, 12*time.Second); !fault.Is(err, fault.Unsent) || time.Since(callStart) > silenceTimeout*6/10 {
			t.Errorf("on a silent link: %v after %v", err, time.Since(callStart))
		}
		err := <-result
		if elapsed := time.Since(start); !fault.Is(err, fault.Unknown) || elapsed < silenceTimeout || elapsed > 2*silenceTimeout {
			t.Errorf("call to the unreachable peer: %v after %v", err, elapsed)
		}
		callStart = time.Now()
		if _, err := call(pair, "ping", ping{}, 12*time.Second); !fault.Is(err, fault.Unsent) || time.Since(callStart) > silenceTimeout*6/10 {
			t.Errorf("after the link's end: %v after %v", err, time.Since(callStart))
		}
		pair.net.Isolate("h2", false)
		<-time.After(time.Second)
		if n := pair.handled.Load(); n != before {
			t.Errorf("%d calls ran after the partition", n-before)
		}
		if _, err := call(pair, "ping", ping{}, time.Second); err != nil {
			t.Errorf("call after the partition: %v", err)
		}
	})
}

// TestUnreachablePeerShortCalls checks that consecutive calls with short timeouts count as
// one silence.
func TestUnreachablePeerShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		_, _ = call(pair, "ping", ping{}, time.Second)
		pair.net.Isolate("h2", true)
		start := time.Now()
		for time.Since(start) < 10*silenceTimeout {
			_, err := call(pair, "ping", ping{}, silenceTimeout/3)
			if fault.Is(err, fault.Unsent) {
				break
			}
			<-time.After(silenceTimeout / 10)
		}
		if elapsed := time.Since(start); elapsed > 2*silenceTimeout {
			t.Errorf("it took %v until a new link was dialed", elapsed)
		}
	})
}

// TestSlowPeerIsNotUnreachable checks that a slow handler is waited for even if nothing
// else uses the link, and that an idle link carries no bytes.
func TestSlowPeerIsNotUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		transport.Handle(pair.server, "long", func(context.Context, transport.Hello, ping) (ping, error) {
			<-time.After(20 * silenceTimeout)
			return ping{N: 7}, nil
		})
		if got, err := call(pair, "long", ping{}, time.Minute); err != nil || got.N != 7 {
			t.Errorf("slow handler: %v %v", got, err)
		}
		pings := pair.client.BytesSent()[transport.Flow{Kind: "link.alive"}].Frames
		if pings < 20 || pings > 41 {
			t.Errorf("%d pings in 20 silence timeouts", pings)
		}
		before := pair.net.BytesSent(false)
		<-time.After(time.Hour)
		if sent := pair.net.BytesSent(false) - before; sent != 0 {
			t.Errorf("%d bytes on an idle link", sent)
		}
	})
}

// TestPausedCaller checks that a process which was paused itself does not take its links
// for dead: the response waits in its socket.
func TestPausedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		transport.Handle(pair.server, "later", func(context.Context, transport.Hello, ping) (ping, error) {
			<-time.After(silenceTimeout)
			return ping{N: 7}, nil
		})
		_, _ = call(pair, "ping", ping{}, time.Second)
		for _, delay := range []time.Duration{silenceTimeout / 10, silenceTimeout * 6 / 10} {
			result := make(chan error)
			go func() {
				_, err := call(pair, "later", ping{}, time.Minute)
				result <- err
			}()
			<-time.After(delay)
			pair.net.PauseProcess("h1", true)
			<-time.After(10 * silenceTimeout)
			pair.net.PauseProcess("h1", false)
			if err := <-result; err != nil {
				t.Errorf("paused after %v: %v", delay, err)
			}
		}
	})
}

// TestCallNeverWritten checks that a call whose frame never left the queue is known not to
// have run and never runs later.
func TestCallNeverWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		_, _ = call(pair, "ping", ping{}, time.Second)
		before := pair.handled.Load()
		pair.net.PauseProcess("h1", true)
		results := make(chan error, 3)
		for i := range 3 {
			go func() {
				_, err := call(pair, "ping", ping{N: i}, silenceTimeout/5)
				results <- err
			}()
			synctest.Wait()
		}
		unsent := 0
		for range 2 {
			if fault.Is(<-results, fault.Unsent) {
				unsent++
			}
		}
		// The first call is stuck in its write, together with the process.
		pair.net.PauseProcess("h1", false)
		if err := <-results; err != nil && !fault.Is(err, fault.Unknown) {
			t.Errorf("the call that was being written: %v", err)
		}
		<-time.After(time.Second)
		if executed := pair.handled.Load() - before; unsent != 2 || executed > 1 {
			t.Errorf("%d calls were known to be unsent, %d ran", unsent, executed)
		}
	})
}
