package transport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// TestGoodbye: a node that leaves while a fellow goes on calling leaves no
// call without an outcome: each is done, or certainly was not.
func TestGoodbye(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for round := range 20 {
			p := newPair(t, "m")
			transport.Handle(p.b, "slow", func(_ context.Context, _ transport.Hello, in ping) (ping, error) {
				<-time.After(7 * time.Millisecond)
				return in, nil
			})
			results := make(chan error, 4000)
			over := make(chan struct{})
			for i := range 6 {
				p.g.Go("caller", func(context.Context) {
					for n := 0; ; n++ {
						select {
						case <-over:
							return
						case <-time.After(time.Duration(100*i+37*round) * time.Microsecond):
						}
						_, err := ask(p, []string{"ping", "slow"}[n%2], ping{N: n}, 300*time.Millisecond)
						results <- err
					}
				})
			}
			<-time.After(50 * time.Millisecond)
			from := time.Now()
			p.b.CloseGracefully(200 * time.Millisecond)
			took := time.Since(from)
			p.b.Close()
			<-time.After(10 * time.Millisecond)
			close(over)
			p.stop()
			close(results)
			done := 0
			for err := range results {
				switch {
				case err == nil:
					done++
				case fault.Is(err, fault.Unknown):
					t.Errorf("round %d: %v", round, err)
				}
			}
			if done < 10 || took > 50*time.Millisecond {
				t.Errorf("round %d: %d calls were done, leaving took %v", round, done, took)
			}
		}
	})
}
