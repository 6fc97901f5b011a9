package transport_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

func callBulk(pair *nodePair, kind string, message ping, timeout time.Duration) (ping, error) {
	ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), timeout)
	defer cancel()
	return transport.Call[ping](ctx, pair.client, "h2:1", kind, message)
}

// TestBulkWithVersion1Peer checks that bulk still works in both directions with a peer of
// version 1, which neither sends chunks nor gets probes.
func TestBulkWithVersion1Peer(t *testing.T) {
	for _, oldSide := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			pair := newNodePair(t, "m")
			defer pair.stop()
			if pair.client.Self.MaxVersion = 1; oldSide == "b" {
				pair.client.Self.MaxVersion, pair.server.Self.MaxVersion = 2, 1
			}
			pair.net.LimitHost("h1", megabit)
			pair.net.LimitHost("h2", megabit)
			for i := range 3 {
				got, err := callBulk(pair, "ping", ping{N: i, Body: make([]byte, 200_000)}, time.Minute)
				if err != nil || len(got.Body) != 200_000 {
					t.Errorf("response of %d bytes: %v", len(got.Body), err)
				}
			}
		})
	}
}

// TestBulkRefusedWhenLate checks that bulk which the link cannot deliver in time is not
// sent, that its caller learns when there may be capacity, and that admitted bulk is
// delivered in time.
func TestBulkRefusedWhenLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		pair.net.LimitHost("h1", megabit)
		if _, err := callBulk(pair, "swap", ping{Body: make([]byte, 100_000)}, 9*time.Second); err != nil {
			t.Fatal(err)
		}
		outcomes := make(chan string, 40)
		for range cap(outcomes) {
			go func() {
				_, err := callBulk(pair, "swap", ping{Body: make([]byte, 20_000)}, 2*time.Second)
				retryAfter, full := transport.IsLinkFull(err)
				switch {
				case err == nil:
					outcomes <- "done"
				case full && fault.Is(err, fault.Unsent) && retryAfter > 0 && retryAfter < 2*time.Second:
					outcomes <- "refused"
				default:
					outcomes <- err.Error()
				}
			}()
			<-time.After(50 * time.Millisecond)
		}
		counts := map[string]int{}
		for range cap(outcomes) {
			counts[<-outcomes]++
		}
		// Each second 400 ms worth of bulk is offered, in calls of 160 ms each.
		if counts["done"] < 10 || counts["refused"] < 15 || counts["done"]+counts["refused"] != cap(outcomes) {
			t.Errorf("outcomes: %v", counts)
		}
	})
}

// TestReserveResponse checks that a call whose response the link cannot deliver in time is
// refused before its handler does any work, and that admitted calls are answered in time.
func TestReserveResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		executed := 0
		transport.Handle(pair.server, "file", func(ctx context.Context, _ transport.Hello, message ping) (ping, error) {
			release, retryAfter, ok := transport.ReserveResponse(ctx, message.N, 0)
			if !ok {
				return ping{}, fault.New(fault.Refused, "retry after %v", retryAfter > 0)
			}
			defer release()
			executed++
			return ping{Body: make([]byte, message.N)}, nil
		})
		pair.net.LimitHost("h2", megabit)
		if _, err := callBulk(pair, "file", ping{N: 100_000}, 9*time.Second); err != nil {
			t.Fatal(err)
		}
		outcomes := make(chan string, 40)
		for range cap(outcomes) {
			go func() {
				got, err := callBulk(pair, "file", ping{N: 20_000}, 2*time.Second)
				switch {
				case err == nil && len(got.Body) == 20_000:
					outcomes <- "done"
				case fault.Is(err, fault.Refused):
					outcomes <- "refused"
				default:
					outcomes <- fmt.Sprint(err)
				}
			}()
			<-time.After(50 * time.Millisecond)
		}
		got := map[string]int{}
		for range cap(outcomes) {
			got[<-outcomes]++
		}
		if got["done"] < 10 || got["refused"] < 15 || got["done"]+got["refused"] != cap(outcomes) || executed != got["done"]+1 {
			t.Errorf("%d calls ran, outcomes: %v", executed, got)
		}
	})
}

// TestStalledPeerLosesTurn checks that a peer which stalls while its link has the turn to
// send bulk does not delay the other links of its zone for long.
func TestStalledPeerLosesTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		var peers []*transport.Node
		for i := 3; i < 8; i++ {
			host := fmt.Sprint("h", i)
			n := pair.newNode(host, "m")
			transport.Handle(n, "swap", func(context.Context, transport.Hello, ping) (ping, error) { return ping{}, nil })
			if err := n.Listen(host + ":1"); err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			peers = append(peers, n)
		}
		send := func(i int, results chan error) {
			ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), 9*time.Second)
			defer cancel()
			_, err := transport.Call[ping](ctx, pair.client, fmt.Sprintf("h%d:1", i), "swap", ping{Body: make([]byte, 200_000)})
			results <- err
		}
		warmUp := make(chan error, 9)
		for i := range peers {
			send(i+3, warmUp)
		}
		pair.net.LimitHost("h1", 4*megabit)
		pair.net.PauseProcess("h3", true)
		pair.net.PauseProcess("h4", true)
		stalled, others := make(chan error, 2), make(chan error, 3)
		go send(3, stalled)
		go send(4, stalled)
		synctest.Wait()
		start := time.Now()
		for i := 5; i < 8; i++ {
			go send(i, others)
		}
		for range 3 {
			if err := <-others; err != nil {
				t.Error(err)
			}
		}
		if elapsed := time.Since(start); elapsed > 5*time.Second {
			t.Errorf("the other links took %v", elapsed)
		}
		pair.net.PauseProcess("h3", false)
		pair.net.PauseProcess("h4", false)
		<-stalled
		<-stalled
	})
}
