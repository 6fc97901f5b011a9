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

// pingWithExtra is the same message as a later version would send it.
type pingWithExtra struct {
	Body  []byte `msgpack:"b"`
	N     int    `msgpack:"n"`
	Extra string `msgpack:"x"`
}

// nodePair is a client and a server on a simulated network.
type nodePair struct {
	net            *sim.Net
	client, server *transport.Node
	tasks          *task.Group
	handled        atomic.Int64
	badLinks       atomic.Int64
	mu             sync.Mutex
	linkEnds       []string // of links with calls in progress, as logged
}

func (p *nodePair) newNode(host, clusterID string) *transport.Node {
	log := event.New(host, nil)
	log.SetListener(func(entry event.Entry) {
		if entry.Number == event.BadLink.Number {
			p.badLinks.Add(1)
		}
		if entry.Number == event.LinkEnded.Number {
			p.mu.Lock()
			p.linkEnds = append(p.linkEnds, host+" "+entry.Text)
			p.mu.Unlock()
		}
	})
	p.net.SetZone(host, "x")
	return transport.NewNode(transport.Hello{ClusterID: clusterID, Node: host, Zone: "x"}, env.Env{Net: p.net.Process(host, host), Log: log, WallClock: time.Now, Sleep: p.net.Sleeper(host)}, p.tasks, 1<<20, 4, 500*time.Millisecond)
}

// newNodePair returns a pair whose server handles calls of the kinds ping, swap and hang.
// The clusterID is the server's; the client belongs to cluster "m".
func newNodePair(t *testing.T, clusterID string) *nodePair {
	pair := &nodePair{net: sim.NewNet(1, time.Millisecond, time.Millisecond), tasks: task.New(context.Background())}
	pair.client, pair.server = pair.newNode("h1", "m"), pair.newNode("h2", clusterID)
	transport.Handle(pair.server, "ping", func(_ context.Context, _ transport.Hello, message ping) (ping, error) {
		pair.handled.Add(1)
		return ping{message.Body, message.N + 1}, nil
	})
	// Answers with as many bytes as requested.
	transport.Handle(pair.server, "swap", func(_ context.Context, _ transport.Hello, message ping) (ping, error) {
		return ping{Body: make([]byte, message.N)}, nil
	})
	transport.Handle(pair.server, "hang", func(ctx context.Context, _ transport.Hello, _ ping) (ping, error) {
		<-ctx.Done()
		return ping{}, ctx.Err()
	})
	if err := pair.server.Listen("h2:1"); err != nil {
		t.Fatal(err)
	}
	return pair
}

func (p *nodePair) stop() {
	p.tasks.Cancel()
	p.client.Close()
	p.server.Close()
	p.tasks.Stop()
}

func call(pair *nodePair, kind string, message any, timeout time.Duration) (ping, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return transport.Call[ping](ctx, pair.client, "h2:1", kind, message)
}

// TestLargeFrameAfterIdle checks that a frame larger than the socket's buffer is sent
// after the link was idle for longer than its write deadline.
func TestLargeFrameAfterIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		for range 3 {
			if _, err := call(pair, "ping", ping{Body: make([]byte, 100_000)}, time.Second); err != nil {
				t.Fatal(err)
			}
			<-time.After(2 * time.Second)
		}
	})
}

// TestOutcomes checks that calls that were certainly not executed are told apart from
// those whose outcome is unknown.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		if _, err := transport.Call[ping](t.Context(), pair.client, "h2:9", "ping", ping{}); !fault.Is(err, fault.Unsent) {
			t.Errorf("no listener: %v", err)
		}
		if _, err := call(pair, "nonsense", ping{}, time.Second); !fault.Is(err, fault.Refused) {
			t.Errorf("unknown kind: %v", err)
		}
		if _, err := call(pair, "hang", ping{}, time.Second); !fault.Is(err, fault.Unknown) {
			t.Errorf("no response in time: %v", err)
		}
		if _, err := call(pair, "ping", ping{Body: make([]byte, 2<<20)}, time.Second); !fault.Is(err, fault.Unsent) {
			t.Errorf("frame over the limit: %v", err)
		}
		got, err := call(pair, "ping", pingWithExtra{N: 4, Extra: "later"}, time.Second)
		if err != nil || got.N != 5 {
			t.Errorf("unknown field: %v %v", got, err)
		}
		// The pool has four workers, and all of them hang, so a fifth call is refused.
		for range 4 {
			go func() { _, _ = call(pair, "hang", ping{}, 3*time.Second) }()
		}
		<-time.After(100 * time.Millisecond)
		before := pair.handled.Load()
		if _, err := call(pair, "ping", ping{}, time.Second); !fault.Is(err, fault.Refused) || pair.handled.Load() != before {
			t.Errorf("full pool: %v", err)
		}
		<-time.After(4 * time.Second)
		// A partition makes the outcome unknown, and afterwards the link works again.
		pair.net.Isolate("h2", true)
		if _, err := call(pair, "ping", ping{}, time.Second); !fault.Is(err, fault.Unknown) {
			t.Errorf("partition: %v", err)
		}
		pair.net.Isolate("h2", false)
		if _, err := call(pair, "ping", ping{}, time.Second); err != nil {
			t.Errorf("after the partition: %v", err)
		}
	})
}

// TestForeignPeers checks that a peer of another cluster, a foreign protocol and an
// oversized frame close the link with an event, and that the node keeps running.
func TestForeignPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "other")
		defer pair.stop()
		if _, err := call(pair, "ping", ping{}, time.Second); !fault.Is(err, fault.Unsent) || pair.handled.Load() != 0 {
			t.Errorf("another cluster: %v", err)
		}
		withLength := func(n uint32, b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, n), b...) }
		hello, _ := msgpack.Marshal(transport.Hello{Magic: "puffincrank", ClusterID: "other", MinVersion: 1, MaxVersion: 9})
		later, _ := msgpack.Marshal(transport.Hello{Magic: "puffincrank", ClusterID: "other", MinVersion: 7, MaxVersion: 9})
		for i, input := range [][]byte{
			[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
			withLength(1<<30, nil),
			withLength(3, []byte{0xc1, 0xc1, 0xc1}),
			withLength(uint32(len(later)), later),
			append(withLength(uint32(len(hello)), hello), withLength(1<<30, nil)...),
		} {
			before := pair.badLinks.Load()
			conn, err := pair.net.Host("h1").Dial(t.Context(), "h2:1")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write(input)
			<-time.After(100 * time.Millisecond)
			if pair.badLinks.Load() == before {
				t.Errorf("case %d: no event was logged", i)
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			for err == nil {
				_, err = conn.Read(make([]byte, 4096))
			}
			if err.Error() != "EOF" {
				t.Errorf("case %d: the link was not closed: %v", i, err)
			}
			_ = conn.Close()
		}
	})
}
