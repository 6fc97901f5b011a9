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

// TestIndex: what a lookup gives is the live entries of that service and of no
// other, whatever came and went, at every node and after a refill; a list that
// was handed out never changes.
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
			r := nodes[rnd.IntN(3)].rep
			worker := fmt.Sprint("w", rnd.IntN(8))
			if rnd.IntN(3) == 0 {
				r.Remove(worker, "down")
			} else {
				r.Register(services[rnd.IntN(3)], worker, nil)
			}
			if step%20 != 0 {
				continue
			}
			<-time.After(beat)
			if step%100 == 0 {
				nodes[0].rep.SetCompleteUntil(time.Now().Add(beat))
				if got, err := nodes[1].rep.Refill(t.Context(), "h1:1"); err != nil || !got.Done {
					t.Fatal(got, err)
				}
			}
			for i, x := range nodes {
				for _, s := range services {
					want := x.rep.Map().Live(func(e ormap.Entry) bool { return e.Service == s })
					sort.Slice(want, func(i, j int) bool { return want[i].Dot.Compare(want[j].Dot) < 0 })
					if got := x.rep.Lookup(s); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
						t.Fatalf("step %d, node %d: lookup of %s gives %v, live are %v", step, i, s, got, want)
					}
				}
			}
			if !reflect.DeepEqual(handedOut, copied) {
				t.Fatal("a list that was handed out has changed")
			}
			handedOut = nodes[0].rep.Lookup("a")
			copied = append([]ormap.Entry(nil), handedOut...)
		}
		if len(handedOut) == 0 {
			t.Fatal("nothing was looked up")
		}
	})
}
