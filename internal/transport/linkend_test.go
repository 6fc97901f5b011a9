package transport_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// TestLinkEndIsTold: when a link ends under calls, both ends tell why, how many calls
// of theirs waited and how many of the other's were at work. One that ends with nothing
// under way is not told of.
func TestLinkEndIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, began, _ := work(t)
		defer p.stop()
		if _, err := ask(p, "ping", ping{}, time.Second); err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithTimeout(t.Context(), time.Minute)
		defer end()
		for range 2 {
			p.g.Go("asker", func(context.Context) { _, _ = transport.Call[ping](ctx, p.a, "h2:1", "work", ping{}) })
			<-began
		}
		p.net.Isolate("h2", true)
		<-time.After(3 * patience)
		p.net.Isolate("h2", false)
		<-time.After(10 * patience)
		p.mu.Lock()
		defer p.mu.Unlock()
		told := strings.Join(p.ends, "\n")
		for _, want := range []string{"h1 fellow=h2 why=nothing came in under calls, not even after a ping waiting=2 serving=0", "h2 fellow=h1 why=the other end closed it, or reading failed waiting=0 serving=2"} {
			if !strings.Contains(told, want) {
				t.Errorf("%q is not among %q", want, told)
			}
		}
		if len(p.ends) != 2 {
			t.Errorf("%d ends are told: %q", len(p.ends), told)
		}
	})
}
