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
	w    *transport.Node
	rep  *replica.Replica
	mu   sync.Mutex
	news []string
}

func (n *node) heard() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.news...)
}

// row brings up replicas on hosts of a network, all knowing each other.
func row(t *testing.T, net *sim.Net, g *task.Group, hosts, areas []string) []*node {
	var all []membership.Member
	var out []*node
	for i, h := range hosts {
		net.Place(h, areas[i])
		f := membership.Member{Node: h, Incarnation: "s", Role: "proxy", Zone: areas[i], InternalAddr: h + ":1"}
		all = append(all, f)
		e := env.Env{Net: net.Host(h), Log: event.New(h, nil), WallClock: time.Now}
		w := transport.NewNode(transport.Hello{ClusterID: "m", Node: h, Zone: areas[i]}, e, g, 1<<20, 64, beat)
		n := &node{w: w, rep: replica.New(f, w, g, e.Log, hlc.New(time.Now, time.Minute), beat, 3*time.Second, time.Minute)}
		n.rep.Subscribe(func(x replica.Event) {
			n.mu.Lock()
			n.news = append(n.news, x.Kind+" "+x.Entry.Worker)
			n.mu.Unlock()
		})
		if err := w.Listen(f.InternalAddr); err != nil {
			t.Fatal(err)
		}
		out = append(out, n)
	}
	for _, n := range out {
		n.rep.SetMembers(membership.NewList(all))
	}
	return out
}

func stop(g *task.Group, all []*node) {
	g.Cancel()
	for _, n := range all {
		n.w.Close()
	}
	g.Stop()
}

// TestDotOfAStart: a node that is restarted with its clock at the very moment
// of an earlier registration never gives that one's dot again, so what was
// buried then stays buried and what is new lives.
func TestDotOfAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		at := time.Now()
		seen := map[ormap.Dot]bool{}
		for start := range 4 {
			f := membership.Member{Node: "a", Incarnation: fmt.Sprint(start), Role: "proxy", Zone: "x", InternalAddr: "h:1"}
			e := env.Env{Net: sim.NewNet(1, 0, 0).Host("h"), Log: event.New("a", nil), WallClock: time.Now}
			w := transport.NewNode(transport.Hello{ClusterID: "m", Node: "a", Zone: "x"}, e, g, 1<<20, 4, beat)
			r := replica.New(f, w, g, e.Log, hlc.New(func() time.Time { return at }, time.Minute), beat, 3*time.Second, time.Minute)
			for range 3 {
				d := r.Register("s", "w", nil).Dot
				if seen[d] {
					t.Errorf("start %d gave %v again", start, d)
				}
				seen[d] = true
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
		n := row(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "y"})
		defer stop(g, n)
		if _, ok := n[0].rep.Find(t.Context(), "s", 0); ok {
			t.Error("found a service that nobody serves")
		}
		from := time.Now()
		if _, ok := n[0].rep.Find(t.Context(), "s", replica.DefaultRetries); ok || time.Since(from) > beat {
			t.Errorf("gave up after %v", time.Since(from))
		}
		// Registered far away a moment ago: without retries it is not there yet.
		n[2].rep.Register("s", "far", map[string]string{"slots": "1"})
		if _, ok := n[0].rep.Find(t.Context(), "s", 0); ok {
			t.Error("the delta was faster than the network")
		}
		if e, ok := n[0].rep.Find(t.Context(), "s", replica.DefaultRetries); !ok || e.Worker != "far" {
			t.Errorf("retries did not find it: %v %v", e, ok)
		}
		n[1].rep.Register("s", "near", nil)
		<-time.After(beat)
		if e, _ := n[0].rep.Find(t.Context(), "s", 0); e.Worker != "near" {
			t.Errorf("the own area is not preferred: %v", e)
		}
		n[0].rep.Register("s", "own", nil)
		if e, _ := n[0].rep.Find(t.Context(), "s", 0); e.Worker != "own" {
			t.Errorf("the own node is not preferred: %v", e)
		}
		if l := n[0].rep.Local("s"); len(l) != 1 || l[0].Worker != "own" {
			t.Errorf("local entries: %v", l)
		}
		<-time.After(beat)
		if l := n[2].rep.Lookup("s"); len(l) != 3 {
			t.Errorf("all entries: %v", l)
		}
		n[1].rep.Remove("near", "signed off")
		<-time.After(beat)
		n[2].rep.Remove("far", "down")
		<-time.After(beat)
		want := []string{"registered far", "registered near", "registered own", "unregistered near", "down far"}
		if got := n[0].heard(); len(got) != len(want) {
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
		n := row(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "x"})
		defer stop(g, n)
		one := n[0].rep.Register("s", "w", nil)
		<-time.After(beat)
		net.Isolate("h3", true)
		two := n[0].rep.Register("s", "w", map[string]string{"state": "draining"})
		if one.Dot == two.Dot || !one.Dot.Stamp.Less(two.Dot.Stamp) {
			t.Errorf("the dot is not fresh: %v %v", one.Dot, two.Dot)
		}
		n[2].rep.Register("s", "lone", nil)
		<-time.After(20 * time.Second)
		if l := n[2].rep.Lookup("s"); len(l) != 2 || l[0].Meta["state"] == "draining" {
			t.Errorf("the cut did not cut: %v", l)
		}
		net.Isolate("h3", false)
		<-time.After(20 * time.Second)
		for i, x := range n {
			l := x.rep.Lookup("s")
			if len(l) != 2 {
				t.Errorf("node %d has %v after repair", i, l)
			}
			for _, e := range l {
				if e.Worker == "w" && e.Dot != two.Dot {
					t.Errorf("node %d holds an old dot of w", i)
				}
			}
		}
	})
}

// TestRegisterAtOnce: registrations of one worker that come at the same time,
// as by a beat and by a node that finds its dots removed, leave one entry.
func TestRegisterAtOnce(t *testing.T) {
	g := task.New(context.Background())
	n := row(t, sim.NewNet(3, time.Millisecond, time.Millisecond), g, []string{"h1"}, []string{"x"})
	defer stop(g, n)
	for round := range 300 {
		var wait sync.WaitGroup
		for range 4 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				n[0].rep.Register("s", "w", nil)
			}()
		}
		wait.Wait()
		if l := n[0].rep.Lookup("s"); len(l) != 1 {
			t.Fatalf("round %d: %d entries of one worker", round, len(l))
		}
	}
}
