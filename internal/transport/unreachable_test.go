package transport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

const patience = 500 * time.Millisecond // of newPair's nodes

// TestDark: a fellow goes dark under a call that has long to run. The call
// ends at the silence's bound, not at its own; new ones fail at once as not
// sent; what the cut held up is lost when it heals.
func TestDark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		if _, err := ask(p, "ping", ping{}, time.Second); err != nil {
			t.Fatal(err)
		}
		<-time.After(10 * time.Second)
		p.net.Isolate("h2", true)
		before, from := p.seen.Load(), time.Now()
		late := make(chan error)
		go func() {
			_, err := ask(p, "ping", ping{}, 12*time.Second)
			late <- err
		}()
		// Between the doubt and the end of the link.
		<-time.After(patience + patience/5)
		at := time.Now()
		if _, err := ask(p, "ping", ping{}, 12*time.Second); !fault.Is(err, fault.Unsent) || time.Since(at) > patience*6/10 {
			t.Errorf("on a mute link: %v after %v", err, time.Since(at))
		}
		err := <-late
		if took := time.Since(from); !fault.Is(err, fault.Unknown) || took < patience || took > 2*patience {
			t.Errorf("in the dark: %v after %v", err, took)
		}
		at = time.Now()
		if _, err := ask(p, "ping", ping{}, 12*time.Second); !fault.Is(err, fault.Unsent) || time.Since(at) > patience*6/10 {
			t.Errorf("after the link's end: %v after %v", err, time.Since(at))
		}
		p.net.Isolate("h2", false)
		<-time.After(time.Second)
		if n := p.seen.Load(); n != before {
			t.Errorf("%d calls ran after the cut", n-before)
		}
		if _, err := ask(p, "ping", ping{}, time.Second); err != nil {
			t.Errorf("after the cut: %v", err)
		}
	})
}

// TestDarkShortCalls: calls that give up soon, one after the other, add up to
// one silence.
func TestDarkShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		_, _ = ask(p, "ping", ping{}, time.Second)
		p.net.Isolate("h2", true)
		from := time.Now()
		for time.Since(from) < 10*patience {
			_, err := ask(p, "ping", ping{}, patience/3)
			if fault.Is(err, fault.Unsent) {
				break
			}
			<-time.After(patience / 10)
		}
		if took := time.Since(from); took > 2*patience {
			t.Errorf("dialled anew after %v only", took)
		}
	})
}

// TestSlowIsNotDark: a taker that needs long, on a link with nothing else on
// it, is waited for; an idle link carries no byte.
func TestSlowIsNotDark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		transport.Handle(p.b, "long", func(context.Context, transport.Hello, ping) (ping, error) {
			<-time.After(20 * patience)
			return ping{N: 7}, nil
		})
		if got, err := ask(p, "long", ping{}, time.Minute); err != nil || got.N != 7 {
			t.Errorf("a slow taker: %v %v", got, err)
		}
		pings := p.a.BytesSent()[transport.Flow{Kind: "link.alive"}].Frames
		if pings < 20 || pings > 41 {
			t.Errorf("%d pings in 20 times the patience", pings)
		}
		before := p.net.Sum(false)
		<-time.After(time.Hour)
		if n := p.net.Sum(false) - before; n != 0 {
			t.Errorf("%d bytes on an idle link", n)
		}
	})
}

// TestFrozenCaller: a process that was frozen itself takes no link for dead:
// the receipt waits in its socket.
func TestFrozenCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		transport.Handle(p.b, "later", func(context.Context, transport.Hello, ping) (ping, error) {
			<-time.After(patience)
			return ping{N: 7}, nil
		})
		_, _ = ask(p, "ping", ping{}, time.Second)
		for _, at := range []time.Duration{patience / 10, patience * 6 / 10} {
			back := make(chan error)
			go func() {
				_, err := ask(p, "later", ping{}, time.Minute)
				back <- err
			}()
			<-time.After(at)
			p.net.Freeze("h1", true)
			<-time.After(10 * patience)
			p.net.Freeze("h1", false)
			if err := <-back; err != nil {
				t.Errorf("frozen after %v: %v", at, err)
			}
		}
	})
}

// TestNeverWritten: a call whose frame never left the queue is certain not to
// have run, and never runs later.
func TestNeverWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		_, _ = ask(p, "ping", ping{}, time.Second)
		before := p.seen.Load()
		p.net.Freeze("h1", true)
		back := make(chan error, 3)
		for i := range 3 {
			go func() {
				_, err := ask(p, "ping", ping{N: i}, patience/5)
				back <- err
			}()
			synctest.Wait()
		}
		unsent := 0
		for range 2 {
			if fault.Is(<-back, fault.Unsent) {
				unsent++
			}
		}
		// The first one stands still in its write, with the process.
		p.net.Freeze("h1", false)
		if err := <-back; err != nil && !fault.Is(err, fault.Unknown) {
			t.Errorf("the one in its write: %v", err)
		}
		<-time.After(time.Second)
		if ran := p.seen.Load() - before; unsent != 2 || ran > 1 {
			t.Errorf("%d were certain, %d ran", unsent, ran)
		}
	})
}
