package transport_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// TestPrioritizeBulk checks that of eight peers that wait for large responses over a slow
// link, the one that is about to leave gets its response early, though it called last, and
// that no response is lost. It also applies to a peer that connects after it announced its
// leave.
func TestPrioritizeBulk(t *testing.T) {
	for _, leaving := range []int{0, 1, 2} { // none; one that is connected; one that connects later
		synctest.Test(t, func(t *testing.T) {
			pair := newNodePair(t, "m")
			defer pair.stop()
			const size = 200_000
			transport.Handle(pair.client, "file", func(context.Context, transport.Hello, ping) (ping, error) {
				return ping{Body: make([]byte, size)}, nil
			})
			if err := pair.client.Listen("h1:1"); err != nil {
				t.Fatal(err)
			}
			const peerCount = 8
			var peers []*transport.Node
			for i := range peerCount {
				peers = append(peers, pair.newNode(fmt.Sprint("h", i+3), "m"))
				defer peers[i].Close()
			}
			fetch := func(n *transport.Node) error {
				ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), time.Minute)
				defer cancel()
				got, err := transport.Call[ping](ctx, n, "h1:1", "file", ping{})
				if err == nil && len(got.Body) != size {
					err = fmt.Errorf("response of %d bytes", len(got.Body))
				}
				return err
			}
			last := peers[peerCount-1]
			if leaving == 2 {
				last.PrioritizeBulk()
			}
			for i := range peerCount {
				if leaving != 2 || i < peerCount-1 {
					if err := fetch(peers[i]); err != nil {
						t.Fatal(err)
					}
				}
			}
			pair.net.LimitHost("h1", 4*megabit)
			start := time.Now()
			finished := make(chan int, peerCount)
			for i := range peerCount {
				go func() {
					if err := fetch(peers[i]); err != nil {
						t.Errorf("peer %d (leaving: case %d) at %v: %v", i, leaving, time.Since(start), err)
					}
					finished <- i
				}()
				<-time.After(50 * time.Millisecond)
			}
			if leaving == 1 {
				last.PrioritizeBulk()
			}
			position := 0
			for k := range peerCount {
				if <-finished == peerCount-1 {
					position = k
				}
			}
			// Two links have the turn when it calls; the next turn is its own.
			if leaving > 0 && position > 3 || leaving == 0 && position < peerCount-2 {
				t.Errorf("leaving: case %d: it was served after %d others", leaving, position)
			}
		})
	}
}
