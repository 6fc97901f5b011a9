package transport_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// TestHaste: of eight fellows that wait for large answers over a thin link, the
// one that goes soon has its own early, though it asked last; none is lost. One
// that links up after it gave its word is known to go as well.
func TestHaste(t *testing.T) {
	for _, goes := range []int{0, 1, 2} { // nobody; one that is linked; one that links up later
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, "m")
			defer p.stop()
			const size = 200_000
			transport.Handle(p.a, "file", func(context.Context, transport.Hello, ping) (ping, error) {
				return ping{Body: make([]byte, size)}, nil
			})
			if err := p.a.Listen("h1:1"); err != nil {
				t.Fatal(err)
			}
			const many = 8
			var far []*transport.Node
			for i := range many {
				far = append(far, p.node(fmt.Sprint("h", i+3), "m"))
				defer far[i].Close()
			}
			fetch := func(n *transport.Node) error {
				ctx, end := context.WithTimeout(transport.WithLane(context.Background(), transport.LaneBulk), time.Minute)
				defer end()
				got, err := transport.Call[ping](ctx, n, "h1:1", "file", ping{})
				if err == nil && len(got.Body) != size {
					err = fmt.Errorf("%d bytes", len(got.Body))
				}
				return err
			}
			last := far[many-1]
			if goes == 2 {
				last.PrioritizeBulk()
			}
			for i := range many {
				if goes != 2 || i < many-1 {
					if err := fetch(far[i]); err != nil {
						t.Fatal(err)
					}
				}
			}
			p.net.Thin("h1", 4*megabit)
			from := time.Now()
			ends := make(chan int, many)
			for i := range many {
				go func() {
					if err := fetch(far[i]); err != nil {
						t.Errorf("%d (goes %d) at %v: %v", i, goes, time.Since(from), err)
					}
					ends <- i
				}()
				<-time.After(50 * time.Millisecond)
			}
			if goes == 1 {
				last.PrioritizeBulk()
			}
			place := 0
			for k := range many {
				if <-ends == many-1 {
					place = k
				}
			}
			// Two have the turn when it asks; then it is its own.
			if goes > 0 && place > 3 || goes == 0 && place < many-2 {
				t.Errorf("%d: it was served after %d others", goes, place)
			}
		})
	}
}
