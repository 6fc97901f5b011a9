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

// addPeers starts nodes that one node may call.
func (p *nodePair) addPeers(t *testing.T, count int) (received *atomic.Int64, addrs []string) {
	received = &atomic.Int64{}
	for i := range count {
		host := fmt.Sprintf("f%d", i)
		n := p.newNode(host, "m")
		transport.Handle(n, "slow", func(_ context.Context, _ transport.Hello, message ping) (ping, error) {
			<-time.After(time.Duration(message.N) * time.Millisecond)
			return message, nil
		})
		transport.Handle(n, "told", func(context.Context, transport.Hello, ping) (struct{}, error) {
			received.Add(1)
			return struct{}{}, nil
		})
		if err := n.Listen(host + ":1"); err != nil {
			t.Fatal(err)
		}
		p.tasks.Go("end", func(ctx context.Context) { <-ctx.Done(); n.Close() })
		addrs = append(addrs, host+":1")
	}
	return received, addrs
}

// TestIdleLinkLimit checks that a node with more peers than links it may keep closes the
// least recently used links, and loses no call or one-way message by that, even with long
// and concurrent calls.
func TestIdleLinkLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 16
		pair := newNodePair(t, "m")
		defer pair.stop()
		pair.client.MaxIdleLinks = bound
		received, addrs := pair.addPeers(t, 5*bound)
		// In sequence, as repair contacts its peers.
		for round := range 2 {
			for _, addr := range addrs {
				if _, err := transport.Call[ping](t.Context(), pair.client, addr, "slow", ping{N: 1}); err != nil {
					t.Fatal(round, addr, err)
				}
				<-time.After(pair.client.SilenceTimeout / 4)
				if n := pair.client.LinkCount(); n > bound*3/2 {
					t.Fatalf("%d links are open", n)
				}
			}
		}
		var wait sync.WaitGroup
		sent := int64(0)
		for seed := range 4 {
			rnd := rand.New(rand.NewPCG(7, uint64(seed)))
			sent += 300
			wait.Add(1)
			pair.tasks.Go("caller", func(context.Context) {
				defer wait.Done()
				for range 300 {
					addr := addrs[rnd.IntN(len(addrs))]
					if err := pair.client.Send(t.Context(), addr, "told", ping{}); err != nil {
						t.Errorf("one-way message to %s: %v", addr, err)
					}
					if _, err := transport.Call[ping](t.Context(), pair.client, addrs[rnd.IntN(len(addrs))], "slow", ping{N: rnd.IntN(1500)}); err != nil {
						t.Errorf("call to %s: %v", addr, err)
					}
				}
			})
		}
		maxLinks := 0
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			wait.Wait()
		}()
		for done := false; !done; {
			select {
			case <-finished:
				done = true
			case <-time.After(pair.client.SilenceTimeout / 4):
				maxLinks = max(maxLinks, pair.client.LinkCount())
			}
		}
		t.Logf("at most %d links, with %d peers", maxLinks, len(addrs))
		if maxLinks > 2*bound || received.Load() != sent {
			t.Errorf("up to %d links were open, %d of %d one-way messages arrived", maxLinks, received.Load(), sent)
		}
	})
}
