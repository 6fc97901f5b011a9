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

// TestThin: on a link of one megabit a large body holds up a small urgent call
// for what the socket holds and a small piece at most, both ways, and comes
// through meanwhile: bulk both ways about as fast as the link is, and bulk
// against what is not, to which it gives way, somewhat later.
func TestThin(t *testing.T) {
	t.Run("bulk", func(t *testing.T) { thin(t, transport.LaneBulk, 240*time.Millisecond, 8*time.Second) })
	t.Run("bulk and a large job", func(t *testing.T) { thin(t, transport.LaneBulk-1, 240*time.Millisecond, 13*time.Second) })
}

func thin(t *testing.T, other int, quick, whole time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		p.net.Thin("h1", megabit)
		p.net.Thin("h2", megabit)
		const size = 800_000
		from := time.Now()
		done := make(chan time.Duration, 2)
		for _, n := range []int{0, size} {
			lane := []int{transport.LaneBulk, other}[n/size]
			in := ping{N: n, Body: make([]byte, size-n)}
			go func() {
				ctx, end := context.WithTimeout(transport.WithLane(context.Background(), lane), time.Minute)
				defer end()
				got, err := transport.Call[ping](ctx, p.a, "h2:1", "swap", in)
				if err != nil || len(got.Body) != n {
					t.Errorf("the large one: %d bytes, %v", len(got.Body), err)
				}
				done <- time.Since(from)
			}()
		}
		slow, calls := time.Duration(0), 0
		for len(done) < 2 {
			at := time.Now()
			if _, err := ask(p, "ping", ping{N: 1}, 2*time.Second); err != nil {
				t.Fatalf("an urgent call: %v", err)
			}
			slow = max(slow, time.Since(at))
			calls++
			<-time.After(50 * time.Millisecond)
		}
		// Each way: what the socket holds, and a small piece before it.
		if slow > quick || calls < 10 {
			t.Errorf("of %d urgent calls the slowest took %v", calls, slow)
		}
		if took := max(<-done, <-done); took > whole {
			t.Errorf("the large ones took %v", took)
		}
		t.Logf("%d urgent calls beside, the slowest took %v", calls, slow)
	})
}

// TestThinOrder: while a link is full, what is most urgent goes first, whatever
// came first.
func TestThinOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		_, _ = ask(p, "ping", ping{}, time.Second)
		p.net.Thin("h1", megabit)
		ends := make(chan int, 99)
		call := func(lane, size int) {
			go func() {
				ctx, end := context.WithTimeout(transport.WithLane(context.Background(), lane), time.Minute)
				defer end()
				if _, err := transport.Call[ping](ctx, p.a, "h2:1", "swap", ping{Body: make([]byte, size)}); err != nil {
					t.Error(err)
				}
				ends <- lane
			}()
			synctest.Wait()
		}
		call(transport.LaneBulk, 60_000)
		for lane := transport.LaneBulk - 1; lane >= transport.LaneRequests; lane-- {
			call(lane, 100_000)
		}
		var order []int
		for range transport.LaneBulk {
			order = append(order, <-ends)
		}
		if !slices.IsSorted(order) {
			t.Errorf("they ended as %v", order)
		}
	})
}

// TestFullQueue: what waits on a link is bounded; a call that finds no room is
// certain not to have gone out, and so is one that is given up in its pieces.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		_, _ = ask(p, "ping", ping{}, time.Second)
		before := p.seen.Load()
		p.net.Thin("h1", megabit)
		const calls = 30
		back := make(chan error, calls)
		for i := range calls {
			go func() {
				_, err := ask(p, "ping", ping{N: i, Body: make([]byte, 50_000)}, time.Second)
				back <- err
			}()
		}
		synctest.Wait()
		full := len(back)
		kinds := map[string]int{}
		for range calls {
			switch err := <-back; {
			case err == nil:
				kinds["done"]++
			case fault.Is(err, fault.Unsent):
				kinds["unsent"]++
			default:
				kinds["unknown"]++
			}
		}
		// 125 kB a second in the one second, and the bound is a quarter of 1 MiB.
		if full < calls-6 || kinds["done"]+kinds["unknown"] > 3 {
			t.Errorf("%d found no room; %v", full, kinds)
		}
		<-time.After(10 * time.Second)
		if ran := int(p.seen.Load() - before); ran < kinds["done"] || ran > kinds["done"]+kinds["unknown"] {
			t.Errorf("%d ran, %v", ran, kinds)
		}
		if _, err := ask(p, "ping", ping{Body: make([]byte, 50_000)}, 5*time.Second); err != nil {
			t.Errorf("afterwards: %v", err)
		}
	})
}

// TestVersions: this version and the one before play each against the other.
// Only where both know pieces are bodies cut; all of them arrive whole.
func TestVersions(t *testing.T) {
	for one := 1; one <= 2; one++ {
		for two := 1; two <= 2; two++ {
			t.Run(fmt.Sprint(one, " calls ", two), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newPair(t, "m")
					defer p.stop()
					p.a.Self.MaxVersion, p.b.Self.MaxVersion = one, two
					for _, size := range []int{0, 100, 16 << 10, 16<<10 + 1, 300_000, 900_000} {
						in := ping{N: size, Body: bytes.Repeat([]byte{7}, size)}
						got, err := ask(p, "ping", in, time.Second)
						if err != nil || got.N != size+1 || !bytes.Equal(got.Body, in.Body) {
							t.Errorf("%d bytes: %d bytes, %v", size, len(got.Body), err)
						}
						if err := p.a.Send(t.Context(), "h2:1", "ping", in); err != nil {
							t.Errorf("%d bytes: %v", size, err)
						}
						// A large one fills the lane for a moment.
						<-time.After(10 * time.Millisecond)
					}
					<-time.After(time.Second)
					if n := p.seen.Load(); n != 12 {
						t.Errorf("%d of 12 arrived", n)
					}
					frames := p.a.BytesSent()[transport.Flow{Kind: "ping"}].Frames
					if cut := frames > 12; cut != (one == 2 && two == 2) {
						t.Errorf("%d frames", frames)
					}
				})
			})
		}
	}
}

// TestPlain: one that speaks only version 1, made by hand, calls with a large
// body and gets a large receipt, each in one frame.
func TestPlain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		f := fellow(t, p, 1)
		body := append([]byte{0x82, 0xa1, 'n', 4, 0xa1, 'b', 0xc6, 0, 4, 0, 0}, make([]byte, 4<<16)...)
		f.say(t, old{Kind: "ping", ID: 9, Left: 5000, Body: body})
		var got struct {
			ID   uint64 `msgpack:"i"`
			Body ping   `msgpack:"b"`
		}
		f.get(t, &got)
		if got.ID != 9 || got.Body.N != 5 || len(got.Body.Body) != 4<<16 {
			t.Errorf("%d: %d with %d bytes", got.ID, got.Body.N, len(got.Body.Body))
		}
		// It knows no ping: a refusal by name is a sign of life as well.
		f.say(t, old{Kind: "link.nonsense", ID: 10})
		if got := f.hear(t); got.ID != 10 || got.Bad != "refused" {
			t.Errorf("%+v", got)
		}
	})
}
