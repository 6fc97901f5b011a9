package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ormap"
	"puffincrank/internal/sim"
	"puffincrank/internal/task"
)

// TestIndex checks that a lookup returns exactly the live entries of the service, at every
// node, after any sequence of changes and after a refill. A list that was returned is
// never modified.
func TestIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(4, time.Millisecond, time.Millisecond)
		g := task.New(context.Background())
		nodes := startNodes(t, net, g, []string{"h1", "h2", "h3"}, []string{"x", "x", "y"})
		defer stopNodes(g, nodes)
		rnd := rand.New(rand.NewPCG(8, 9))
		services := []string{"a", "b", "c"}
		var handedOut, copied []ormap.Entry
		for step := range 300 {
			r := nodes[rnd.IntN(3)].replica
			worker := fmt.Sprint("w", rnd.IntN(8))
			if rnd.IntN(3) == 0 {
				r.Remove(worker, "down")
			} else {
				r.Register(services[rnd.IntN(3)], worker, nil)
			}
			if step%20 != 0 {
				continue
			}
			<-time.After(heartbeat)
			if step%100 == 0 {
				nodes[0].replica.SetCompleteUntil(time.Now().Add(heartbeat))
				if got, err := nodes[1].replica.Refill(t.Context(), "h1:1"); err != nil || !got.Done {
					t.Fatal(got, err)
				}
			}
			for i, n := range nodes {
				for _, service := range services {
					want := n.replica.Map().Live(func(e ormap.Entry) bool { return e.Service == service })
					sort.Slice(want, func(i, j int) bool { return want[i].Dot.Compare(want[j].Dot) < 0 })
					if got := n.replica.Lookup(service); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
						t.Fatalf("step %d, node %d: lookup of %s gives %v, live are %v", step, i, service, got, want)
					}
				}
			}
			if !reflect.DeepEqual(handedOut, copied) {
				t.Fatal("a list returned by an earlier lookup was modified")
			}
			handedOut = nodes[0].replica.Lookup("a")
			copied = append([]ormap.Entry(nil), handedOut...)
		}
		if len(handedOut) == 0 {
			t.Fatal("all lookups were empty: the test shows nothing")
		}
	})
}
