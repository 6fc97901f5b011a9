package transport_test

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/sim"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

type ping struct {
	Body []byte `msgpack:"b"`
	N    int    `msgpack:"n"`
}

// newer is the same message as a later version would send it.
type newer struct {
	Body  []byte `msgpack:"b"`
	N     int    `msgpack:"n"`
	Extra string `msgpack:"x"`
}

type pair struct {
	net  *sim.Net
	a, b *transport.Node
	g    *task.Group
	seen atomic.Int64
	bad  atomic.Int64
	mu   sync.Mutex
	ends []string // of links with calls under way, as the logs tell
}

func (p *pair) node(h, m string) *transport.Node {
	log := event.New(h, nil)
	log.SetListener(func(e event.Entry) {
		if e.Number == event.BadLink.Number {
			p.bad.Add(1)
		}
		if e.Number == event.LinkEnded.Number {
			p.mu.Lock()
			p.ends = append(p.ends, h+" "+e.Text)
			p.mu.Unlock()
		}
	})
	p.net.Place(h, "x")
	return transport.NewNode(transport.Hello{ClusterID: m, Node: h, Zone: "x"}, env.Env{Net: p.net.Process(h, h), Log: log, WallClock: time.Now, Sleep: p.net.Pause(h)}, p.g, 1<<20, 4, 500*time.Millisecond)
}

func newPair(t *testing.T, mesh string) *pair {
	p := &pair{net: sim.NewNet(1, time.Millisecond, time.Millisecond), g: task.New(context.Background())}
	p.a, p.b = p.node("h1", "m"), p.node("h2", mesh)
	transport.Handle(p.b, "ping", func(_ context.Context, _ transport.Hello, in ping) (ping, error) {
		p.seen.Add(1)
		return ping{in.Body, in.N + 1}, nil
	})
	// Answers with as many bytes as it is told.
	transport.Handle(p.b, "swap", func(_ context.Context, _ transport.Hello, in ping) (ping, error) {
		return ping{Body: make([]byte, in.N)}, nil
	})
	transport.Handle(p.b, "hang", func(ctx context.Context, _ transport.Hello, _ ping) (ping, error) {
		<-ctx.Done()
		return ping{}, ctx.Err()
	})
	if err := p.b.Listen("h2:1"); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *pair) stop() {
	p.g.Cancel()
	p.a.Close()
	p.b.Close()
	p.g.Stop()
}

func ask(p *pair, kind string, in any, left time.Duration) (ping, error) {
	ctx, end := context.WithTimeout(context.Background(), left)
	defer end()
	return transport.Call[ping](ctx, p.a, "h2:1", kind, in)
}

// TestLargeFrameAfterRest: a frame past the buffer's size goes through after
// the link was idle for longer than its write deadline.
func TestLargeFrameAfterRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		for range 3 {
			if _, err := ask(p, "ping", ping{Body: make([]byte, 100_000)}, time.Second); err != nil {
				t.Fatal(err)
			}
			<-time.After(2 * time.Second)
		}
	})
}

// TestOutcomes: what is certain and what is unknown are told apart.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "m")
		defer p.stop()
		if _, err := transport.Call[ping](t.Context(), p.a, "h2:9", "ping", ping{}); !fault.Is(err, fault.Unsent) {
			t.Errorf("nobody listens: %v", err)
		}
		if _, err := ask(p, "nonsense", ping{}, time.Second); !fault.Is(err, fault.Refused) {
			t.Errorf("an unknown kind: %v", err)
		}
		if _, err := ask(p, "hang", ping{}, time.Second); !fault.Is(err, fault.Unknown) {
			t.Errorf("no receipt in time: %v", err)
		}
		if _, err := ask(p, "ping", ping{Body: make([]byte, 2<<20)}, time.Second); !fault.Is(err, fault.Unsent) {
			t.Errorf("a frame over the bound: %v", err)
		}
		got, err := ask(p, "ping", newer{N: 4, Extra: "later"}, time.Second)
		if err != nil || got.N != 5 {
			t.Errorf("an unknown field: %v %v", got, err)
		}
		// The pool has four workers: all hang, so a fifth call is refused.
		for range 4 {
			go func() { _, _ = ask(p, "hang", ping{}, 3*time.Second) }()
		}
		<-time.After(100 * time.Millisecond)
		before := p.seen.Load()
		if _, err := ask(p, "ping", ping{}, time.Second); !fault.Is(err, fault.Refused) || p.seen.Load() != before {
			t.Errorf("a full pool: %v", err)
		}
		<-time.After(4 * time.Second)
		// A cut makes the outcome unknown, and the link works again after it.
		p.net.Isolate("h2", true)
		if _, err := ask(p, "ping", ping{}, time.Second); !fault.Is(err, fault.Unknown) {
			t.Errorf("a cut: %v", err)
		}
		p.net.Isolate("h2", false)
		if _, err := ask(p, "ping", ping{}, time.Second); err != nil {
			t.Errorf("after the cut: %v", err)
		}
	})
}

// TestForeign: another mesh, a foreign protocol and an oversize frame close
// the link with an event, and the node lives on.
func TestForeign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, "other")
		defer p.stop()
		if _, err := ask(p, "ping", ping{}, time.Second); !fault.Is(err, fault.Unsent) || p.seen.Load() != 0 {
			t.Errorf("another mesh: %v", err)
		}
		sized := func(n uint32, b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, n), b...) }
		hello, _ := msgpack.Marshal(transport.Hello{Magic: "puffincrank", ClusterID: "other", MinVersion: 1, MaxVersion: 9})
		later, _ := msgpack.Marshal(transport.Hello{Magic: "puffincrank", ClusterID: "other", MinVersion: 7, MaxVersion: 9})
		for i, raw := range [][]byte{
			[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
			sized(1<<30, nil),
			sized(3, []byte{0xc1, 0xc1, 0xc1}),
			sized(uint32(len(later)), later),
			append(sized(uint32(len(hello)), hello), sized(1<<30, nil)...),
		} {
			before := p.bad.Load()
			c, err := p.net.Host("h1").Dial(t.Context(), "h2:1")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = c.Write(raw)
			<-time.After(100 * time.Millisecond)
			if p.bad.Load() == before {
				t.Errorf("case %d was not noted", i)
			}
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			for err == nil {
				_, err = c.Read(make([]byte, 4096))
			}
			if err.Error() != "EOF" {
				t.Errorf("case %d: the link was not closed: %v", i, err)
			}
			_ = c.Close()
		}
	})
}
