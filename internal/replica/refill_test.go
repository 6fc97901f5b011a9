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

// newReplicas makes replicas on a network; the first is a control node's.
func newReplicas(t *testing.T, g *task.Group, n, frame int) (replicas []*Replica) {
	network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
	for i := range n {
		host, role, zone := fmt.Sprintf("h%d", i), "proxy", "x"
		if i == 0 {
			role = "registry"
		}
		if i%2 == 1 {
			zone = "y"
		}
		e := env.Env{Net: network, Log: event.New(host, nil), Wall: time.Now}
		node := transport.NewNode(transport.Hello{ClusterID: "m", Node: host, Zone: zone, Role: role}, e, g, frame, 64, 5*testHeartbeat)
		r := New(membership.Member{Node: host, Incarnation: "s", Role: role, Zone: zone, InternalAddr: host + ":1"}, node, g, e.Log, hlc.New(time.Now, time.Minute), testHeartbeat, time.Hour, time.Minute)
		if err := node.Listen(host + ":1"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		replicas = append(replicas, r)
	}
	return replicas
}

// TestRefillBudget: a replica hands out its part of the frame's bound in a beat and
// no more, however many ask: the rest are told when to come again, each later
// than those before, and who was filled meanwhile, the own area first; those fill
// them. Who waits itself, or isn't in touch, fills nobody.
func TestRefillBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const frame, n = 64 << 10, 16
		g := task.New(context.Background())
		defer g.Stop()
		replicas := newReplicas(t, g, n, frame)
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
			t.Error("filled by one that isn't in touch")
		}
		markComplete := func(r *Replica) { r.SetCompleteUntil(time.Now().Add(time.Minute)) }
		markComplete(registry)
		registry.SetRefillPending(true)
		if got := requestRefill(1, "h0:1"); got.Done {
			t.Error("filled by one that waits for its refill")
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
				t.Errorf("%d comes again after %v, the one before after %v", i, got.RetryAfter, lastRetry)
			}
			lastRetry = got.RetryAfter
			for k, addr := range got.Alternatives {
				if !slices.Contains(refilled, addr) || k > 0 && replicas[addr[1]-'0'].self.Zone == replicas[i].self.Zone && replicas[got.Alternatives[k-1][1]-'0'].self.Zone != replicas[i].self.Zone {
					t.Errorf("%d of %s is told to try %v, filled were %v", i, replicas[i].self.Zone, got.Alternatives, refilled)
				}
			}
			if len(got.Alternatives) == 0 {
				t.Error("told of nobody")
			}
		}
		if sum := len(refilled) * stateBytes; len(refilled) == 0 || sum > frame/registryShare+stateBytes || len(deferred) == 0 {
			t.Fatalf("%d of %d filled at once, %d bytes of %d", len(refilled), n-1, sum, frame/registryShare)
		}
		if got := requestRefill(deferred[0], refilled[0]); !got.Done || len(replicas[deferred[0]].entries.Live(nil)) != 200 {
			t.Errorf("not filled by one that was: %+v", got)
		}
		// In its turn each comes through.
		for _, i := range deferred[1:] {
			for try := 0; !requestRefill(i, "h0:1").Done; try++ {
				if try > n {
					t.Fatalf("%d is put off for ever", i)
				}
				task.Sleep(t.Context(), testHeartbeat)
			}
		}
	})
}

// TestBusyRepair: who has handed out its part in this beat is not compared with,
// and says so; a beat later it is.
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

// TestRefillFromOlderVersion: one of an earlier version, which knows no turns, fills.
func TestRefillFromOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		node := func(h string) *transport.Node {
			transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: h, Zone: "x"}, env.Env{Net: network, Log: event.New(h, nil), Wall: time.Now}, g, 1<<20, 8, 5*testHeartbeat)
			if err := transportNode.Listen(h + ":1"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(transportNode.Close)
			return transportNode
		}
		olderNode := node("old")
		transport.Handle(olderNode, "replica.all", func(context.Context, transport.Hello, stateRequest) (ormap.Delta, error) {
			return ormap.Delta{Adds: []ormap.Entry{{Dot: ormap.Dot{Node: "o#1"}, Service: "s", Worker: "w", Owner: "o"}}}, nil
		})
		r := New(membership.Member{Node: "n", InternalAddr: "n:1"}, node("n"), g, event.New("n", nil), hlc.New(time.Now, time.Minute), testHeartbeat, time.Hour, time.Minute)
		if got, err := r.Refill(t.Context(), "old:1"); err != nil || !got.Done || len(r.Lookup("s")) != 1 {
			t.Error(got, err, r.Lookup("s"))
		}
	})
}
