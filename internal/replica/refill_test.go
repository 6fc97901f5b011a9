package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/membership"
	"puffincrank/internal/ormap"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

const testHeartbeat = 200 * time.Millisecond

// newReplicas creates connected replicas. The first belongs to a control-plane node, and
// those with odd numbers are in another zone.
func newReplicas(t *testing.T, g *task.Group, count, maxFrameBytes int) (replicas []*Replica) {
	network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
	for i := range count {
		host, role, zone := fmt.Sprintf("h%d", i), "proxy", "x"
		if i == 0 {
			role = "registry"
		}
		if i%2 == 1 {
			zone = "y"
		}
		e := env.Env{Net: network, Log: event.New(host, nil), WallClock: time.Now}
		node := transport.NewNode(transport.Hello{ClusterID: "m", Node: host, Zone: zone, Role: role}, e, g, maxFrameBytes, 64, 5*testHeartbeat)
		r := New(membership.Member{Node: host, Incarnation: "s", Role: role, Zone: zone, InternalAddr: host + ":1"}, node, g, e.Log, hlc.New(time.Now, time.Minute), testHeartbeat, time.Hour, time.Minute)
		if err := node.Listen(host + ":1"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		replicas = append(replicas, r)
	}
	return replicas
}

// TestRefillBudget checks that a replica serves refills only up to its transfer budget per
// heartbeat, however many nodes ask. The other nodes get a retry delay, each a longer one
// than those before, and refilled nodes to ask instead, those of their zone first. A
// replica that waits for a refill, or is not connected to the cluster, serves none.
func TestRefillBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxFrameBytes, n = 64 << 10, 16
		g := task.New(context.Background())
		defer g.Stop()
		replicas := newReplicas(t, g, n, maxFrameBytes)
		registry := replicas[0]
		for i := range 200 {
			registry.Register(fmt.Sprint("service-", i), fmt.Sprint("w", i*7919), map[string]string{"slots": "8"})
		}
		task.Sleep(t.Context(), testHeartbeat)
		requestRefill := func(i int, addr string) Refill {
			got, err := replicas[i].Refill(t.Context(), addr)
			if err != nil {
				t.Fatal(i, addr, err)
			}
			return got
		}
		if got := requestRefill(1, "h0:1"); got.Done {
			t.Error("refilled by a replica that is not connected to the cluster")
		}
		markComplete := func(r *Replica) { r.SetCompleteUntil(time.Now().Add(time.Minute)) }
		markComplete(registry)
		registry.SetRefillPending(true)
		if got := requestRefill(1, "h0:1"); got.Done {
			t.Error("refilled by a replica that waits for its own refill")
		}
		registry.SetRefillPending(false)
		stateBytes := len(registry.encodedState().Compact)
		var refilled []string
		var deferred []int
		var lastRetry time.Duration
		for i := 1; i < n; i++ {
			got := requestRefill(i, "h0:1")
			if got.Done {
				refilled = append(refilled, replicas[i].self.InternalAddr)
				markComplete(replicas[i])
				continue
			}
			deferred = append(deferred, i)
			if got.RetryAfter < testHeartbeat || got.RetryAfter > maxRetryHeartbeats*testHeartbeat+time.Millisecond || got.RetryAfter < lastRetry {
				t.Errorf("node %d is to retry after %v, the one before it after %v", i, got.RetryAfter, lastRetry)
			}
			lastRetry = got.RetryAfter
			for k, addr := range got.Alternatives {
				if !slices.Contains(refilled, addr) || k > 0 && replicas[addr[1]-'0'].self.Zone == replicas[i].self.Zone && replicas[got.Alternatives[k-1][1]-'0'].self.Zone != replicas[i].self.Zone {
					t.Errorf("node %d of zone %s is referred to %v, refilled were %v", i, replicas[i].self.Zone, got.Alternatives, refilled)
				}
			}
			if len(got.Alternatives) == 0 {
				t.Error("a deferred node got no alternatives")
			}
		}
		if sum := len(refilled) * stateBytes; len(refilled) == 0 || sum > maxFrameBytes/registryShare+stateBytes || len(deferred) == 0 {
			t.Fatalf("%d of %d nodes refilled at once, %d bytes of %d", len(refilled), n-1, sum, maxFrameBytes/registryShare)
		}
		if got := requestRefill(deferred[0], refilled[0]); !got.Done || len(replicas[deferred[0]].entries.Live(nil)) != 200 {
			t.Errorf("not refilled by a node that was refilled before: %+v", got)
		}
		// Every deferred node is served in the end.
		for _, i := range deferred[1:] {
			for attempt := 0; !requestRefill(i, "h0:1").Done; attempt++ {
				if attempt > n {
					t.Fatalf("node %d is deferred without end", i)
				}
				task.Sleep(t.Context(), testHeartbeat)
			}
		}
	})
}

// TestBusyRepair checks that a repair with a peer whose transfer budget is exhausted fails
// with errBusy, and succeeds one heartbeat later.
func TestBusyRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		replicas := newReplicas(t, g, 2, 64<<10)
		replicas[0].Register("s", "w", nil)
		replicas[0].RecordRefillBytes(64 << 10 / registryShare)
		if err := replicas[1].Repair(t.Context(), "h0:1"); err != errBusy {
			t.Error(err)
		}
		task.Sleep(t.Context(), testHeartbeat)
		if err := replicas[1].Repair(t.Context(), "h0:1"); err != nil || len(replicas[1].Lookup("s")) != 1 {
			t.Error(err, replicas[1].Lookup("s"))
		}
	})
}

// TestRefillFromOlderVersion checks a refill from a peer of an earlier version, which only
// knows the request for the full state without a transfer budget.
func TestRefillFromOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		newNode := func(host string) *transport.Node {
			transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: host, Zone: "x"}, env.Env{Net: network, Log: event.New(host, nil), WallClock: time.Now}, g, 1<<20, 8, 5*testHeartbeat)
			if err := transportNode.Listen(host + ":1"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(transportNode.Close)
			return transportNode
		}
		olderNode := newNode("old")
		transport.Handle(olderNode, "replica.all", func(context.Context, transport.Hello, stateRequest) (ormap.Delta, error) {
			return ormap.Delta{Adds: []ormap.Entry{{Dot: ormap.Dot{Node: "o#1"}, Service: "s", Worker: "w", Owner: "o"}}}, nil
		})
		r := New(membership.Member{Node: "n", InternalAddr: "n:1"}, newNode("n"), g, event.New("n", nil), hlc.New(time.Now, time.Minute), testHeartbeat, time.Hour, time.Minute)
		if got, err := r.Refill(t.Context(), "old:1"); err != nil || !got.Done || len(r.Lookup("s")) != 1 {
			t.Error(got, err, r.Lookup("s"))
		}
	})
}
