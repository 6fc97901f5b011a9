package transport_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// newCancelablePair returns a pair whose handlers run until their contexts end and report
// how they ended.
func newCancelablePair(t *testing.T) (pair *nodePair, began chan struct{}, ended chan error) {
	pair = newNodePair(t, "m")
	began, ended = make(chan struct{}, 8), make(chan error, 8)
	for _, n := range []*transport.Node{pair.client, pair.server} {
		transport.Handle(n, "work", func(ctx context.Context, _ transport.Hello, message ping) (ping, error) {
			began <- struct{}{}
			<-ctx.Done()
			ended <- ctx.Err()
			return message, nil
		})
		transport.PropagateCancellation(n, "work")
	}
	return pair, began, ended
}

// TestCanceledCall checks that a call ends at the server when its caller stops waiting,
// and only then: not on a cancellation with a cause of its own, and no other call of the
// link ends.
func TestCanceledCall(t *testing.T) {
	for _, cause := range []error{nil, errors.New("its own")} {
		synctest.Test(t, func(t *testing.T) {
			pair, began, ended := newCancelablePair(t)
			defer pair.stop()
			otherCtx, cancelOther := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancelOther()
			pair.tasks.Go("other", func(context.Context) { _, _ = transport.Call[ping](otherCtx, pair.client, "h2:1", "work", ping{}) })
			<-began
			ctx, cancel := context.WithCancelCause(t.Context())
			pair.tasks.Go("asker", func(context.Context) { _, _ = transport.Call[ping](ctx, pair.client, "h2:1", "work", ping{}) })
			<-began
			cancel(cause)
			<-time.After(100 * time.Millisecond)
			if got, want := len(ended), map[bool]int{true: 1, false: 0}[cause == nil]; got != want {
				t.Errorf("cause %v: %d calls ended, want %d", cause, got, want)
			}
		})
	}
}

// TestCallsCanceledWithLink checks that calls end with their link, because their results
// can no longer be delivered.
func TestCallsCanceledWithLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair, began, ended := newCancelablePair(t)
		defer pair.stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		pair.tasks.Go("asker", func(context.Context) { _, _ = transport.Call[ping](ctx, pair.client, "h2:1", "work", ping{}) })
		<-began
		pair.client.Close()
		<-time.After(100 * time.Millisecond)
		if len(ended) != 1 {
			t.Error("the call still runs after its link was closed")
		}
	})
}
