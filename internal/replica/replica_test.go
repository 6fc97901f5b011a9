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

const beat = 200 * time.Millisecond

type node struct {
	transportNode *transport.Node
	rep           *replica.Replica
	mu            sync.Mutex
	events        []string
}

func (n *node) eventsSeen() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.events...)
}

// startNodes brings up replicas on hosts of a network, all knowing each other.
func startNodes(t *testing.T, net *sim.Net, g *task.Group, hosts, zones []string) []*node {
	var members []membership.Member
	var nodes []*node
	for i, host := range hosts {
		net.Place(host, zones[i])
		member := membership.Member{Node: host, Incarnation: "s", Role: "proxy", Zone: zones[i], InternalAddr: host + ":1"}
		members = append(members, member)
		e := env.Env{Net: net.Host(host), Log: event.New(host, nil), Wall: time.Now}
		transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: host, Zone: zones[i]}, e, g, 1<<20, 64, beat)
		n := &node{transportNode: transportNode, rep: replica.New(member, transportNode, g, e.Log, hlc.New(time.Now, time.Minute), beat, 3*time.Second, time.Minute)}
		n.rep.Subscribe(func(event replica.Event) {
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
		n.rep.SetMembers(membership.NewList(members))
	}
	return nodes
}

func stopNodes(g *task.Group, all []*node) {
	g.Cancel()
	for _, n := range all {
		n.transportNode.Close()
	}
	g.Stop()
}

// TestDotsUniqueAcrossRestarts: a node that is restarted with its clock at the very moment
// of an earlier registration never gives that one's dot again, so what was
// buried then stays buried and what is new lives.
func TestDotsUniqueAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		clockTime := time.Now()
		seen := map[ormap.Dot]bool{}
		for start := range 4 {
			member := membership.Member{Node: "a", Incarnation: fmt.Sprint(start), Role: "proxy", Zone: "x", InternalAddr: "h:1"}
			e := env.Env{Net: sim.NewNet(1, 0, 0).Host("h"), Log: event.New("a", nil), Wall: time.Now}
			transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: "a", Zone: "x"}, e, g, 1<<20, 4, beat)
			r := replica.New(member, transportNode, g, e.Log, hlc.New(func() time.Time { return clockTime }, time.Minute), beat, 3*time.Second, time.Minute)
			for range 3 {
				dot := r.Register("s", "w", nil).Dot
				if seen[dot] {
					t.Errorf("start %d gave %v again", start, dot)
				}
				seen[dot] = true
			}
		}
	})
}

// TestLookups: local entries, all entries, and the best one, which prefers the
// own node, then the own area; retries cover the way of a fresh registration;
// subscribers hear registered, unregistered and down.
func TestLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(1, time.Millisecond, 5*time.Millisecond)
		g := task.New(context.Background())
		nodes := startNodes(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "y"})
		defer stopNodes(g, nodes)
		if _, ok := nodes[0].rep.Find(t.Context(), "s", 0); ok {
			t.Error("found a service that nobody serves")
		}
		from := time.Now()
		if _, ok := nodes[0].rep.Find(t.Context(), "s", replica.DefaultRetries); ok || time.Since(from) > beat {
			t.Errorf("gave up after %v", time.Since(from))
		}
		// Registered far away a moment ago: without retries it is not there yet.
		nodes[2].rep.Register("s", "far", map[string]string{"slots": "1"})
		if _, ok := nodes[0].rep.Find(t.Context(), "s", 0); ok {
			t.Error("the delta was faster than the network")
		}
		if e, ok := nodes[0].rep.Find(t.Context(), "s", replica.DefaultRetries); !ok || e.Worker != "far" {
			t.Errorf("retries did not find it: %v %v", e, ok)
		}
		nodes[1].rep.Register("s", "near", nil)
		<-time.After(beat)
		if e, _ := nodes[0].rep.Find(t.Context(), "s", 0); e.Worker != "near" {
			t.Errorf("the own area is not preferred: %v", e)
		}
		nodes[0].rep.Register("s", "own", nil)
		if e, _ := nodes[0].rep.Find(t.Context(), "s", 0); e.Worker != "own" {
			t.Errorf("the own node is not preferred: %v", e)
		}
		if entries := nodes[0].rep.Local("s"); len(entries) != 1 || entries[0].Worker != "own" {
			t.Errorf("local entries: %v", entries)
		}
		<-time.After(beat)
		if entries := nodes[2].rep.Lookup("s"); len(entries) != 3 {
			t.Errorf("all entries: %v", entries)
		}
		nodes[1].rep.Remove("near", "signed off")
		<-time.After(beat)
		nodes[2].rep.Remove("far", "down")
		<-time.After(beat)
		want := []string{"registered far", "registered near", "registered own", "unregistered near", "down far"}
		if got := nodes[0].eventsSeen(); len(got) != len(want) {
			t.Errorf("heard %v, want %v", got, want)
		} else {
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("heard %v, want %v", got, want)
					break
				}
			}
		}
	})
}

// TestRepair: replicas that missed deltas while they were cut off are mended
// by digests, and a re-registration leaves one entry, with a fresh dot.
func TestRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(2, time.Millisecond, time.Millisecond)
		g := task.New(context.Background())
		nodes := startNodes(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "x"})
		defer stopNodes(g, nodes)
		first := nodes[0].rep.Register("s", "w", nil)
		<-time.After(beat)
		net.Isolate("h3", true)
		second := nodes[0].rep.Register("s", "w", map[string]string{"state": "draining"})
		if first.Dot == second.Dot || !first.Dot.Stamp.Less(second.Dot.Stamp) {
			t.Errorf("the dot is not fresh: %v %v", first.Dot, second.Dot)
		}
		nodes[2].rep.Register("s", "lone", nil)
		<-time.After(20 * time.Second)
		if entries := nodes[2].rep.Lookup("s"); len(entries) != 2 || entries[0].Meta["state"] == "draining" {
			t.Errorf("the cut did not cut: %v", entries)
		}
		net.Isolate("h3", false)
		<-time.After(20 * time.Second)
		for i, x := range nodes {
			entries := x.rep.Lookup("s")
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

// TestConcurrentRegister: registrations of one worker that come at the same time,
// as by a beat and by a node that finds its dots removed, leave one entry.
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
				nodes[0].rep.Register("s", "w", nil)
			}()
		}
		wait.Wait()
		if entries := nodes[0].rep.Lookup("s"); len(entries) != 1 {
			t.Fatalf("round %d: %d entries of one worker", round, len(entries))
		}
	}
}
