package transport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// TestGoodbye checks that a node which leaves while a peer keeps calling leaves no call
// with an unknown outcome: each was executed or was certainly not.
func TestGoodbye(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for round := range 20 {
			pair := newNodePair(t, "m")
			transport.Handle(pair.server, "slow", func(_ context.Context, _ transport.Hello, message ping) (ping, error) {
				<-time.After(7 * time.Millisecond)
				return message, nil
			})
			results := make(chan error, 4000)
			stop := make(chan struct{})
			for i := range 6 {
				pair.tasks.Go("caller", func(context.Context) {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(time.Duration(100*i+37*round) * time.Microsecond):
						}
						_, err := call(pair, []string{"ping", "slow"}[n%2], ping{N: n}, 300*time.Millisecond)
						results <- err
					}
				})
			}
			<-time.After(50 * time.Millisecond)
			start := time.Now()
			pair.server.CloseGracefully(200 * time.Millisecond)
			elapsed := time.Since(start)
			pair.server.Close()
			<-time.After(10 * time.Millisecond)
			close(stop)
			pair.stop()
			close(results)
			done := 0
			for err := range results {
				switch {
				case err == nil:
					done++
				case fault.Is(err, fault.Unknown):
					t.Errorf("round %d: outcome unknown: %v", round, err)
				}
			}
			if done < 10 || elapsed > 50*time.Millisecond {
				t.Errorf("round %d: %d calls succeeded, closing took %v", round, done, elapsed)
			}
		}
	})
}
