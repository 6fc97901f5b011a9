package replica_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/membership"
	"puffincrank/internal/ormap"
	"puffincrank/internal/replica"
	"puffincrank/internal/sim"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

const heartbeat = 200 * time.Millisecond

type node struct {
	transportNode *transport.Node
	replica       *replica.Replica
	mu            sync.Mutex
	events        []string
}

func (n *node) eventsSeen() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.events...)
}

// startNodes starts a replica on each host of a network; all are members of one cluster.
func startNodes(t *testing.T, net *sim.Net, g *task.Group, hosts, zones []string) []*node {
	var members []membership.Member
	var nodes []*node
	for i, host := range hosts {
		net.SetZone(host, zones[i])
		member := membership.Member{Node: host, Incarnation: "s", Role: "proxy", Zone: zones[i], InternalAddr: host + ":1"}
		members = append(members, member)
		e := env.Env{Net: net.Host(host), Log: event.New(host, nil), WallClock: time.Now}
		transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: host, Zone: zones[i]}, e, g, 1<<20, 64, heartbeat)
		n := &node{transportNode: transportNode, replica: replica.New(member, transportNode, g, e.Log, hlc.New(time.Now, time.Minute), heartbeat, 3*time.Second, time.Minute)}
		n.replica.Subscribe(func(event replica.Event) {
			n.mu.Lock()
			n.events = append(n.events, event.Kind+" "+event.Entry.Worker)
			n.mu.Unlock()
		})
		if err := transportNode.Listen(member.InternalAddr); err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.replica.SetMembers(membership.NewList(members))
	}
	return nodes
}

func stopNodes(g *task.Group, nodes []*node) {
	g.Cancel()
	for _, n := range nodes {
		n.transportNode.Close()
	}
	g.Stop()
}

// TestDotsUniqueAcrossRestarts checks that a node that restarts with its clock at the time of
// an earlier registration does not reuse that dot. If it did, an old tombstone would remove
// the new entry.
func TestDotsUniqueAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		clockTime := time.Now()
		seen := map[ormap.Dot]bool{}
		for start := range 4 {
			member := membership.Member{Node: "a", Incarnation: fmt.Sprint(start), Role: "proxy", Zone: "x", InternalAddr: "h:1"}
			e := env.Env{Net: sim.NewNet(1, 0, 0).Host("h"), Log: event.New("a", nil), WallClock: time.Now}
			transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: "a", Zone: "x"}, e, g, 1<<20, 4, heartbeat)
			r := replica.New(member, transportNode, g, e.Log, hlc.New(func() time.Time { return clockTime }, time.Minute), heartbeat, 3*time.Second, time.Minute)
			for range 3 {
				dot := r.Register("s", "w", nil).Dot
				if seen[dot] {
					t.Errorf("start %d reused dot %v", start, dot)
				}
				seen[dot] = true
			}
		}
	})
}

// TestLookups checks lookups of local entries, of all entries and of the best one, which
// prefers the own node and then the own zone. Retries cover the propagation delay of a new
// registration. Subscribers get registered, unregistered and down events.
func TestLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(1, time.Millisecond, 5*time.Millisecond)
		g := task.New(context.Background())
		nodes := startNodes(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "y"})
		defer stopNodes(g, nodes)
		if _, ok := nodes[0].replica.Find(t.Context(), "s", 0); ok {
			t.Error("found an entry of a service without registrations")
		}
		start := time.Now()
		if _, ok := nodes[0].replica.Find(t.Context(), "s", replica.DefaultRetries); ok || time.Since(start) > heartbeat {
			t.Errorf("gave up after %v", time.Since(start))
		}
		// Just registered at another node: a lookup without retries does not find it yet.
		nodes[2].replica.Register("s", "far", map[string]string{"slots": "1"})
		if _, ok := nodes[0].replica.Find(t.Context(), "s", 0); ok {
			t.Error("the delta was faster than the network")
		}
		if e, ok := nodes[0].replica.Find(t.Context(), "s", replica.DefaultRetries); !ok || e.Worker != "far" {
			t.Errorf("retries did not find it: %v %v", e, ok)
		}
		nodes[1].replica.Register("s", "near", nil)
		<-time.After(heartbeat)
		if e, _ := nodes[0].replica.Find(t.Context(), "s", 0); e.Worker != "near" {
			t.Errorf("the own zone is not preferred: %v", e)
		}
		nodes[0].replica.Register("s", "own", nil)
		if e, _ := nodes[0].replica.Find(t.Context(), "s", 0); e.Worker != "own" {
			t.Errorf("the own node is not preferred: %v", e)
		}
		if entries := nodes[0].replica.Local("s"); len(entries) != 1 || entries[0].Worker != "own" {
			t.Errorf("local entries: %v", entries)
		}
		<-time.After(heartbeat)
		if entries := nodes[2].replica.Lookup("s"); len(entries) != 3 {
			t.Errorf("all entries: %v", entries)
		}
		nodes[1].replica.Remove("near", "signed off")
		<-time.After(heartbeat)
		nodes[2].replica.Remove("far", "down")
		<-time.After(heartbeat)
		want := []string{"registered far", "registered near", "registered own", "unregistered near", "down far"}
		if got := nodes[0].eventsSeen(); len(got) != len(want) {
			t.Errorf("got events %v, want %v", got, want)
		} else {
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("got events %v, want %v", got, want)
					break
				}
			}
		}
	})
}

// TestRepair checks that replicas that missed deltas while isolated are repaired by digests,
// and that a repeated registration leaves one entry, with a new dot.
func TestRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(2, time.Millisecond, time.Millisecond)
		g := task.New(context.Background())
		nodes := startNodes(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "x"})
		defer stopNodes(g, nodes)
		first := nodes[0].replica.Register("s", "w", nil)
		<-time.After(heartbeat)
		net.Isolate("h3", true)
		second := nodes[0].replica.Register("s", "w", map[string]string{"state": "draining"})
		if first.Dot == second.Dot || !first.Dot.Stamp.Less(second.Dot.Stamp) {
			t.Errorf("the second registration has no later dot: %v %v", first.Dot, second.Dot)
		}
		nodes[2].replica.Register("s", "lone", nil)
		<-time.After(20 * time.Second)
		if entries := nodes[2].replica.Lookup("s"); len(entries) != 2 || entries[0].Meta["state"] == "draining" {
			t.Errorf("the isolated node got updates: %v", entries)
		}
		net.Isolate("h3", false)
		<-time.After(20 * time.Second)
		for i, n := range nodes {
			entries := n.replica.Lookup("s")
			if len(entries) != 2 {
				t.Errorf("node %d has %v after repair", i, entries)
			}
			for _, e := range entries {
				if e.Worker == "w" && e.Dot != second.Dot {
					t.Errorf("node %d holds an old dot of w", i)
				}
			}
		}
	})
}

// TestConcurrentRegister checks that concurrent registrations of one worker leave one entry.
// They occur when a heartbeat of the worker arrives while its node finds the entry removed
// and registers it again.
func TestConcurrentRegister(t *testing.T) {
	g := task.New(context.Background())
	nodes := startNodes(t, sim.NewNet(3, time.Millisecond, time.Millisecond), g, []string{"h1"}, []string{"x"})
	defer stopNodes(g, nodes)
	for round := range 300 {
		var wait sync.WaitGroup
		for range 4 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				nodes[0].replica.Register("s", "w", nil)
			}()
		}
		wait.Wait()
		if entries := nodes[0].replica.Lookup("s"); len(entries) != 1 {
			t.Fatalf("round %d: %d entries of one worker", round, len(entries))
		}
	}
}
