package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// withRoutes returns the configuration of a shape with the given number of extra routes.
func withRoutes(shape Shape, count int) string {
	var routes []string
	for i := range count {
		routes = append(routes, fmt.Sprintf(`{"name":"x%d","prefix":"/grown/x%d","service":%q,"class":%q}`, i, i, shape.Services[0], "agents"))
	}
	return strings.Replace(shape.Config, `"paths":[`, `"paths":[`+strings.Join(append(routes, ""), ","), 1)
}

// TestGrowth grows the routes of the Ingenzi shape to three hundred by many changes
// through all nodes under traffic, mixed with concurrent, outdated and invalid changes.
// Each race must have one winner, no refused change may have an effect, no caller may
// see an error, and every route must work at every ingress.
func TestGrowth(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		shape := Ingenzi(0.12)
		fleet := NewFleet(t, shape, 400)
		defer fleet.Stop()
		fleet.Start()
		rnd := rand.New(rand.NewPCG(4, 4))
		waitForLoad := fleet.Load(shape.Lines, 40*time.Second)
		anyAddress := func() string { return fleet.Nodes[rnd.IntN(len(fleet.Nodes))].Host + ":7003" }
		version, routes := uint64(1), 0
		for routes < 300 {
			Wait(time.Duration(300+rnd.IntN(900)) * time.Millisecond)
			target := routes + 10 + rnd.IntN(20)
			doc := withRoutes(shape, target)
			codes := make(chan int, 4)
			send := func(who string, base uint64, doc string) {
				address := anyAddress()
				fleet.g.Go("send", func(context.Context) {
					code, applied := fleet.ApplyAs(who, address, base, doc)
					if code == 200 && applied != version+1 {
						t.Errorf("version %d was applied after %d", applied, version)
					}
					codes <- code
				})
			}
			send("one", version, doc)
			send("another", version, doc)
			send("late", version-1, withRoutes(shape, target+1))
			send("one", version, strings.Replace(doc, `"service":"seats"`, `"service":"sits"`, 1))
			answers := map[int]int{}
			for range 4 {
				answers[<-codes]++
			}
			if answers[200] != 1 || answers[409] != 2 || answers[422] != 1 {
				t.Fatalf("two racing changes, an outdated and an invalid one were answered with %v", answers)
			}
			version, routes = version+1, target
		}
		Wait(2 * time.Second)
		for i := range 60 {
			node := fleet.Nodes[i%len(fleet.Nodes)]
			if code, _ := fleet.Get(node.Host+":8000", fmt.Sprintf("/grown/x%d", rnd.IntN(routes))); code != 200 {
				t.Errorf("a new route at %s answered %d", node.Host, code)
			}
		}
		waitForLoad()
		fleet.CheckInvariants()
		if counts := fleet.Observer.Counts(); counts["done"] != counts["calls"] || version < 10 {
			t.Errorf("not all requests succeeded or too few changes: %v, %d changes", counts, version)
		}
		t.Logf("%d routes added in %d changes", routes, version-1)
	})
}

// TestGrowthCost checks that the time of a configuration push, its bytes and the start
// time of a node grow no faster than the document, at 10, 100 and 1000 extra routes.
func TestGrowthCost(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		shape := Ingenzi(0.1)
		fleet := NewFleet(t, shape, 401)
		defer fleet.Stop()
		fleet.Start()
		var took, start []time.Duration
		var bytes []float64
		for i, n := range []int{10, 100, 1000} {
			doc := withRoutes(shape, n)
			before := fleet.Net.BytesSent(true) + fleet.Net.BytesSent(false)
			code, version := fleet.Apply(fleet.Nodes[0].Host+":7003", uint64(i+1), doc)
			if code != 200 {
				t.Fatalf("applying %d routes was answered with %d", n, code)
			}
			took = append(took, fleet.Until(2*time.Second, "every node has the configuration", func() bool {
				for _, n := range fleet.Nodes {
					if _, status := fleet.Get(n.Host+":7003", "/puffin/own"); status["config_version"] != float64(version) {
						return false
					}
				}
				return true
			}))
			bytes = append(bytes, float64(fleet.Net.BytesSent(true)+fleet.Net.BytesSent(false)-before)/float64(len(doc)))
			restarted := fleet.Nodes[2]
			fleet.KillNode(restarted)
			fleet.StartProxy(restarted)
			start = append(start, fleet.Until(3*time.Second, "the node is ready", restarted.Proxy.Ready))
			Wait(2 * time.Second)
		}
		t.Logf("10, 100, 1000 routes: last node updated after %v, traffic per document byte %.1f, node start %v", took, bytes, start)
		// Three stores, three registries and fourteen proxies receive it once each.
		if bytes[2] > 24 || took[2] > 4*max(took[0], 50*time.Millisecond) || start[2] > 4*max(start[0], 50*time.Millisecond) {
			t.Error("the cost grows faster than the document")
		}
	})
}
