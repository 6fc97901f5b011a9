package transport_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// TestLinkEndLogged checks that both ends log why a link ended under calls, how many of
// their own calls waited and how many of the peer's were being handled. A link that ends
// with no calls in progress is not logged.
func TestLinkEndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair, began, _ := newCancelablePair(t)
		defer pair.stop()
		if _, err := call(pair, "ping", ping{}, time.Second); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for range 2 {
			pair.tasks.Go("asker", func(context.Context) { _, _ = transport.Call[ping](ctx, pair.client, "h2:1", "work", ping{}) })
			<-began
		}
		pair.net.Isolate("h2", true)
		<-time.After(3 * silenceTimeout)
		pair.net.Isolate("h2", false)
		<-time.After(10 * silenceTimeout)
		pair.mu.Lock()
		defer pair.mu.Unlock()
		logged := strings.Join(pair.linkEnds, "\n")
		for _, want := range []string{"h1 fellow=h2 why=nothing came in under calls, not even after a ping waiting=2 serving=0", "h2 fellow=h1 why=the other end closed it, or reading failed waiting=0 serving=2"} {
			if !strings.Contains(logged, want) {
				t.Errorf("%q is not among the logged ends %q", want, logged)
			}
		}
		if len(pair.linkEnds) != 2 {
			t.Errorf("%d ends were logged: %q", len(pair.linkEnds), logged)
		}
	})
}
