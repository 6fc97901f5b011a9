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

func bulk(p *pair, kind string, in ping, left time.Duration) (ping, error) {
	ctx, end := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), left)
	defer end()
	return transport.Call[ping](ctx, p.a, "h2:1", kind, in)
}

// TestBulkOld: a fellow of the version before, which knows no pieces and gets no
// marks, takes bulk both ways as ever.
func TestBulkOld(t *testing.T) {
	for _, old := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, "m")
			defer p.stop()
			if p.a.Self.MaxVersion = 1; old == "b" {
				p.a.Self.MaxVersion, p.b.Self.MaxVersion = 2, 1
			}
			p.net.Thin("h1", megabit)
			p.net.Thin("h2", megabit)
			for i := range 3 {
				up, err := bulk(p, "ping", ping{N: i, Body: make([]byte, 200_000)}, time.Minute)
				if err != nil || len(up.Body) != 200_000 {
					t.Errorf("%d bytes: %v", len(up.Body), err)
				}
			}
		})
	}
}

// TestBulkLate: bulk that the link can't bring there in its time is not sent at
// all, and told when there may be room; what was let in is through in its time.
func TestBulkLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		p.net.Thin("h1", megabit)
		if _, err := bulk(p, "swap", ping{Body: make([]byte, 100_000)}, 9*time.Second); err != nil {
			t.Fatal(err)
		}
		ends := make(chan string, 40)
		for range cap(ends) {
			go func() {
				_, err := bulk(p, "swap", ping{Body: make([]byte, 20_000)}, 2*time.Second)
				come, full := transport.IsLinkFull(err)
				switch {
				case err == nil:
					ends <- "done"
				case full && fault.Is(err, fault.Unsent) && come > 0 && come < 2*time.Second:
					ends <- "refused"
				default:
					ends <- err.Error()
				}
			}()
			<-time.After(50 * time.Millisecond)
		}
		got := map[string]int{}
		for range cap(ends) {
			got[<-ends]++
		}
		// 400 ms a second are offered of bulk that takes 160 ms each.
		if got["done"] < 10 || got["refused"] < 15 || got["done"]+got["refused"] != cap(ends) {
			t.Errorf("they ended as %v", got)
		}
	})
}

// TestBook: an answer for which the way back has no time is refused before
// anything is done for it; what is let in is through.
func TestBook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		ran := 0
		transport.Handle(p.b, "file", func(ctx context.Context, _ transport.Hello, in ping) (ping, error) {
			free, come, ok := transport.ReserveResponse(ctx, in.N, 0)
			if !ok {
				return ping{}, fault.New(fault.Refused, "come after %v", come > 0)
			}
			defer free()
			ran++
			return ping{Body: make([]byte, in.N)}, nil
		})
		p.net.Thin("h2", megabit)
		if _, err := bulk(p, "file", ping{N: 100_000}, 9*time.Second); err != nil {
			t.Fatal(err)
		}
		ends := make(chan string, 40)
		for range cap(ends) {
			go func() {
				got, err := bulk(p, "file", ping{N: 20_000}, 2*time.Second)
				switch {
				case err == nil && len(got.Body) == 20_000:
					ends <- "done"
				case fault.Is(err, fault.Refused):
					ends <- "refused"
				default:
					ends <- fmt.Sprint(err)
				}
			}()
			<-time.After(50 * time.Millisecond)
		}
		got := map[string]int{}
		for range cap(ends) {
			got[<-ends]++
		}
		if got["done"] < 10 || got["refused"] < 15 || got["done"]+got["refused"] != cap(ends) || ran != got["done"]+1 {
			t.Errorf("%d ran, they ended as %v", ran, got)
		}
	})
}

// TestTurns: a fellow that stands still while it has the turn doesn't keep the
// others of its area from theirs for long.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		var far []*transport.Node
		for i := 3; i < 8; i++ {
			h := fmt.Sprint("h", i)
			n := p.node(h, "m")
			transport.Handle(n, "swap", func(context.Context, transport.Hello, ping) (ping, error) { return ping{}, nil })
			if err := n.Listen(h + ":1"); err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			far = append(far, n)
		}
		send := func(i int, back chan error) {
			ctx, end := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), 9*time.Second)
			defer end()
			_, err := transport.Call[ping](ctx, p.a, fmt.Sprintf("h%d:1", i), "swap", ping{Body: make([]byte, 200_000)})
			back <- err
		}
		first := make(chan error, 9)
		for i := range far {
			send(i+3, first)
		}
		p.net.Thin("h1", 4*megabit)
		p.net.Freeze("h3", true)
		p.net.Freeze("h4", true)
		dark, rest := make(chan error, 2), make(chan error, 3)
		go send(3, dark)
		go send(4, dark)
		synctest.Wait()
		from := time.Now()
		for i := 5; i < 8; i++ {
			go send(i, rest)
		}
		for range 3 {
			if err := <-rest; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(from); took > 5*time.Second {
			t.Errorf("the others took %v", took)
		}
		p.net.Freeze("h3", false)
		p.net.Freeze("h4", false)
		<-dark
		<-dark
	})
}
