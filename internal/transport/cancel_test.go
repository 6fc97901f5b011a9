package transport_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// work is a pair whose far side works on a call for as long as its context lasts,
// and tells how that ended.
func work(t *testing.T) (p *pair, began chan struct{}, ended chan error) {
	p = newPair(t, "m")
	began, ended = make(chan struct{}, 8), make(chan error, 8)
	for _, n := range []*transport.Node{p.a, p.b} {
		transport.Handle(n, "work", func(ctx context.Context, _ transport.Hello, in ping) (ping, error) {
			began <- struct{}{}
			<-ctx.Done()
			ended <- ctx.Err()
			return in, nil
		})
		transport.PropagateCancellation(n, "work")
	}
	return p, began, ended
}

// TestAbandoned: a call ends at the far side when its asker waits no more, and only
// then: not by a cancel with a cause of its own, and no other call of the link.
func TestAbandoned(t *testing.T) {
	for _, cause := range []error{nil, errors.New("its own")} {
		synctest.Test(t, func(t *testing.T) {
			p, began, ended := work(t)
			defer p.stop()
			other, end := context.WithTimeout(t.Context(), 10*time.Second)
			defer end()
			p.g.Go("other", func(context.Context) { _, _ = transport.Call[ping](other, p.a, "h2:1", "work", ping{}) })
			<-began
			ctx, stop := context.WithCancelCause(t.Context())
			p.g.Go("asker", func(context.Context) { _, _ = transport.Call[ping](ctx, p.a, "h2:1", "work", ping{}) })
			<-began
			stop(cause)
			<-time.After(100 * time.Millisecond)
			if got, want := len(ended), map[bool]int{true: 1, false: 0}[cause == nil]; got != want {
				t.Errorf("cause %v: %d calls ended, want %d", cause, got, want)
			}
		})
	}
}

// TestAbandonedWithLink: what nobody can be told the result of ends with the link.
func TestAbandonedWithLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, began, ended := work(t)
		defer p.stop()
		ctx, end := context.WithTimeout(t.Context(), time.Minute)
		defer end()
		p.g.Go("asker", func(context.Context) { _, _ = transport.Call[ping](ctx, p.a, "h2:1", "work", ping{}) })
		<-began
		p.a.Close()
		<-time.After(100 * time.Millisecond)
		if len(ended) != 1 {
			t.Error("it goes on")
		}
	})
}
