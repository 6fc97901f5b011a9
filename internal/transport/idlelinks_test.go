package transport_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// crowd is many fellows that one node may call.
func (p *pair) crowd(t *testing.T, many int) (casts *atomic.Int64, all []string) {
	casts = &atomic.Int64{}
	for i := range many {
		host := fmt.Sprintf("f%d", i)
		n := p.node(host, "m")
		transport.Handle(n, "slow", func(_ context.Context, _ transport.Hello, in ping) (ping, error) {
			<-time.After(time.Duration(in.N) * time.Millisecond)
			return in, nil
		})
		transport.Handle(n, "told", func(context.Context, transport.Hello, ping) (struct{}, error) {
			casts.Add(1)
			return struct{}{}, nil
		})
		if err := n.Listen(host + ":1"); err != nil {
			t.Fatal(err)
		}
		p.g.Go("end", func(ctx context.Context) { <-ctx.Done(); n.Close() })
		all = append(all, host+":1")
	}
	return casts, all
}

// TestFewLinks: a node that meets more fellows than it may keep links closes those
// that it used least lately, and loses no call or cast by it, though calls take
// long and come from many at once.
func TestFewLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 16
		p := newPair(t, "m")
		defer p.stop()
		p.a.MaxIdleLinks = bound
		casts, all := p.crowd(t, 5*bound)
		// One after the other, as a repair meets them.
		for round := range 2 {
			for _, at := range all {
				if _, err := transport.Call[ping](t.Context(), p.a, at, "slow", ping{N: 1}); err != nil {
					t.Fatal(round, at, err)
				}
				<-time.After(p.a.SilenceTimeout / 4)
				if n := p.a.LinkCount(); n > bound*3/2 {
					t.Fatalf("%d links stand", n)
				}
			}
		}
		var wait sync.WaitGroup
		told := int64(0)
		for w := range 4 {
			rnd := rand.New(rand.NewPCG(7, uint64(w)))
			told += 300
			wait.Add(1)
			p.g.Go("caller", func(context.Context) {
				defer wait.Done()
				for range 300 {
					at := all[rnd.IntN(len(all))]
					if err := p.a.Send(t.Context(), at, "told", ping{}); err != nil {
						t.Errorf("a cast to %s: %v", at, err)
					}
					if _, err := transport.Call[ping](t.Context(), p.a, all[rnd.IntN(len(all))], "slow", ping{N: rnd.IntN(1500)}); err != nil {
						t.Errorf("a call to %s: %v", at, err)
					}
				}
			})
		}
		most := 0
		over := make(chan struct{})
		go func() {
			defer close(over)
			wait.Wait()
		}()
		for end := false; !end; {
			select {
			case <-over:
				end = true
			case <-time.After(p.a.SilenceTimeout / 4):
				most = max(most, p.a.LinkCount())
			}
		}
		t.Logf("%d links at the most, of %d fellows", most, len(all))
		if most > 2*bound || casts.Load() != told {
			t.Errorf("%d links stood, %d of %d casts came", most, casts.Load(), told)
		}
	})
}
