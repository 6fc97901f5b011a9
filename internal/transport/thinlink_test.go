package transport_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

const megabit = 1_000_000 / 8

// TestThinLink checks that on a link of one megabit per second a large body delays a small
// urgent call by at most the socket's buffer and a small chunk in each direction, and that
// the large body completes meanwhile. Bulk in both directions takes about as long as the
// link needs; bulk beside a large request, which goes first, takes somewhat longer.
func TestThinLink(t *testing.T) {
	t.Run("bulk", func(t *testing.T) { testThinLink(t, transport.LaneBulk, 240*time.Millisecond, 8*time.Second) })
	t.Run("bulk and a large job", func(t *testing.T) { testThinLink(t, transport.LaneBulk-1, 240*time.Millisecond, 13*time.Second) })
}

func testThinLink(t *testing.T, otherLane int, maxUrgent, maxTotal time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		pair.net.LimitHost("h1", megabit)
		pair.net.LimitHost("h2", megabit)
		const size = 800_000
		start := time.Now()
		done := make(chan time.Duration, 2)
		for _, n := range []int{0, size} {
			lane := []int{transport.LaneBulk, otherLane}[n/size]
			message := ping{N: n, Body: make([]byte, size-n)}
			go func() {
				ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), lane), time.Minute)
				defer cancel()
				got, err := transport.Call[ping](ctx, pair.client, "h2:1", "swap", message)
				if err != nil || len(got.Body) != n {
					t.Errorf("large call: response of %d bytes, %v", len(got.Body), err)
				}
				done <- time.Since(start)
			}()
		}
		slowest, calls := time.Duration(0), 0
		for len(done) < 2 {
			callStart := time.Now()
			if _, err := call(pair, "ping", ping{N: 1}, 2*time.Second); err != nil {
				t.Fatalf("urgent call: %v", err)
			}
			slowest = max(slowest, time.Since(callStart))
			calls++
			<-time.After(50 * time.Millisecond)
		}
		// In each direction: the socket's buffer, and a small chunk before it.
		if slowest > maxUrgent || calls < 10 {
			t.Errorf("of %d urgent calls the slowest took %v", calls, slowest)
		}
		if elapsed := max(<-done, <-done); elapsed > maxTotal {
			t.Errorf("the large calls took %v", elapsed)
		}
		t.Logf("%d concurrent urgent calls, the slowest took %v", calls, slowest)
	})
}

// TestThinLinkLaneOrder checks that on a full link the most urgent frames go first,
// whatever order they came in.
func TestThinLinkLaneOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		_, _ = call(pair, "ping", ping{}, time.Second)
		pair.net.LimitHost("h1", megabit)
		finished := make(chan int, 99)
		call := func(lane, size int) {
			go func() {
				ctx, cancel := context.WithTimeout(transport.WithLane(context.Background(), lane), time.Minute)
				defer cancel()
				if _, err := transport.Call[ping](ctx, pair.client, "h2:1", "swap", ping{Body: make([]byte, size)}); err != nil {
					t.Error(err)
				}
				finished <- lane
			}()
			synctest.Wait()
		}
		call(transport.LaneBulk, 60_000)
		for lane := transport.LaneBulk - 1; lane >= transport.LaneRequests; lane-- {
			call(lane, 100_000)
		}
		var order []int
		for range transport.LaneBulk {
			order = append(order, <-finished)
		}
		if !slices.IsSorted(order) {
			t.Errorf("calls ended in the order of lanes %v", order)
		}
	})
}

// TestFullQueue checks that the queue of a link is bounded, and that a call which finds no
// capacity, or is given up while its chunks are being sent, is known to be unsent.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		_, _ = call(pair, "ping", ping{}, time.Second)
		before := pair.handled.Load()
		pair.net.LimitHost("h1", megabit)
		const calls = 30
		results := make(chan error, calls)
		for i := range calls {
			go func() {
				_, err := call(pair, "ping", ping{N: i, Body: make([]byte, 50_000)}, time.Second)
				results <- err
			}()
		}
		synctest.Wait()
		rejected := len(results)
		outcomes := map[string]int{}
		for range calls {
			switch err := <-results; {
			case err == nil:
				outcomes["done"]++
			case fault.Is(err, fault.Unsent):
				outcomes["unsent"]++
			default:
				outcomes["unknown"]++
			}
		}
		// 125 kB are sent in the one second, and the limit of the queue is a quarter of 1
		// MiB.
		if rejected < calls-6 || outcomes["done"]+outcomes["unknown"] > 3 {
			t.Errorf("%d calls found no capacity; outcomes: %v", rejected, outcomes)
		}
		<-time.After(10 * time.Second)
		if executed := int(pair.handled.Load() - before); executed < outcomes["done"] || executed > outcomes["done"]+outcomes["unknown"] {
			t.Errorf("%d calls ran, outcomes: %v", executed, outcomes)
		}
		if _, err := call(pair, "ping", ping{Body: make([]byte, 50_000)}, 5*time.Second); err != nil {
			t.Errorf("call afterwards: %v", err)
		}
	})
}

// TestVersions runs each combination of this version and the previous one. Bodies are
// split into chunks only if both ends support it, and all of them arrive whole.
func TestVersions(t *testing.T) {
	for clientVersion := 1; clientVersion <= 2; clientVersion++ {
		for serverVersion := 1; serverVersion <= 2; serverVersion++ {
			t.Run(fmt.Sprint(clientVersion, " calls ", serverVersion), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					pair := newNodePair(t, "m")
					defer pair.stop()
					pair.client.Self.MaxVersion, pair.server.Self.MaxVersion = clientVersion, serverVersion
					for _, size := range []int{0, 100, 16 << 10, 16<<10 + 1, 300_000, 900_000} {
						message := ping{N: size, Body: bytes.Repeat([]byte{7}, size)}
						got, err := call(pair, "ping", message, time.Second)
						if err != nil || got.N != size+1 || !bytes.Equal(got.Body, message.Body) {
							t.Errorf("body of %d bytes: response of %d bytes, %v", size, len(got.Body), err)
						}
						if err := pair.client.Send(t.Context(), "h2:1", "ping", message); err != nil {
							t.Errorf("body of %d bytes: %v", size, err)
						}
						// A large message fills the lane for a moment.
						<-time.After(10 * time.Millisecond)
					}
					<-time.After(time.Second)
					if n := pair.handled.Load(); n != 12 {
						t.Errorf("%d of 12 messages arrived", n)
					}
					frames := pair.client.BytesSent()[transport.Flow{Kind: "ping"}].Frames
					if chunked := frames > 12; chunked != (clientVersion == 2 && serverVersion == 2) {
						t.Errorf("bodies were sent in %d frames", frames)
					}
				})
			})
		}
	}
}

// TestVersion1Peer checks that a peer which supports only version 1 can send a large body
// and gets a large response, each in a single frame.
func TestVersion1Peer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		peer := dialRaw(t, pair, 1)
		body := append([]byte{0x82, 0xa1, 'n', 4, 0xa1, 'b', 0xc6, 0, 4, 0, 0}, make([]byte, 4<<16)...)
		peer.write(t, rawFrame{Kind: "ping", ID: 9, TimeoutMS: 5000, Body: body})
		var got struct {
			ID   uint64 `msgpack:"i"`
			Body ping   `msgpack:"b"`
		}
		peer.read(t, &got)
		if got.ID != 9 || got.Body.N != 5 || len(got.Body.Body) != 4<<16 {
			t.Errorf("response to call %d: %d with %d bytes", got.ID, got.Body.N, len(got.Body.Body))
		}
		// A kind that is not registered is refused, which is a sign of life as well.
		peer.write(t, rawFrame{Kind: "link.nonsense", ID: 10})
		if got := peer.readFrame(t); got.ID != 10 || got.ErrorCode != "refused" {
			t.Errorf("%+v", got)
		}
	})
}
