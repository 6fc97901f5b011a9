package transport_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// left notes how much time the taker of a call has.
func (p *pair) left(kind string) <-chan time.Duration {
	got := make(chan time.Duration, 9)
	transport.Handle(p.b, kind, func(ctx context.Context, _ transport.Hello, in ping) (ping, error) {
		end, _ := ctx.Deadline()
		got <- time.Until(end)
		return in, nil
	})
	return got
}

// TestLate: a call that waited behind a cut, or in the socket of a process
// that stood still, has that much less time at its taker; one with none left
// never runs and is refused by name.
func TestLate(t *testing.T) {
	for name, set := range map[string]func(*pair, bool){
		"cut":    func(p *pair, on bool) { p.net.Cut("h1", "h2", on) },
		"frozen": func(p *pair, on bool) { p.net.Freeze("h2", on) },
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, "m")
			defer p.stop()
			// Links are to stand for the whole of it.
			p.a.SilenceTimeout, p.b.SilenceTimeout = time.Hour, time.Hour
			got := p.left("left")
			if _, err := ask(p, "left", ping{}, 3*time.Second); err != nil {
				t.Fatal(err)
			}
			if l := <-got; l < 2990*time.Millisecond || l > 3*time.Second {
				t.Errorf("%s: a call that wasn't held has %v of 3s left", name, l)
			}
			set(p, true)
			back := make(chan error, 2)
			for _, long := range []time.Duration{time.Second, 5 * time.Second} {
				go func() {
					_, err := ask(p, "left", ping{}, long)
					back <- err
				}()
				synctest.Wait()
			}
			<-time.After(2 * time.Second)
			set(p, false)
			if err := <-back; !fault.Is(err, fault.Unknown) {
				t.Errorf("%s: the short call ended with %v", name, err)
			}
			if err := <-back; err != nil {
				t.Errorf("%s: the long call ended with %v", name, err)
			}
			if l := <-got; l < 2990*time.Millisecond || l > 3010*time.Millisecond {
				t.Errorf("%s: held for 2 of 5s, %v are left", name, l)
			}
			if len(got) > 0 {
				t.Errorf("%s: a call whose time was used up ran, with %v left", name, <-got)
			}
		})
	}
}

const none = 1 << 62

// TestLateByName: the word on a late call is a certain no, a usual way counts
// as no age, and fellows of before that don't say when they sent are as before.
func TestLateByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		p.net.Lag("h2", 200*time.Millisecond)
		f := fellow(t, p, 1)
		<-time.After(5 * time.Second)
		for i, c := range []struct {
			held, left int64
			bad, names string
		}{
			{0, 300, "", ""},
			{3000, 300, "refused", "late"},
			{0, 300, "", ""},
			{3000, 4000, "", ""},
			{none, 300, "", ""},
			{0, 1 << 62, "", ""},
			{-1 << 62, 300, "", ""},
		} {
			at := max(0, f.now()-c.held)
			before := p.seen.Load()
			f.say(t, old{Kind: "ping", ID: uint64(i + 1), Left: c.left, At: at, Body: []byte{0x80}})
			got := f.hear(t)
			if got.ID != uint64(i+1) || got.Bad != c.bad || !strings.Contains(got.Say, c.names) || (p.seen.Load() > before) != (c.bad == "") {
				t.Errorf("case %d: %+v", i, got)
			}
		}
	})
}
