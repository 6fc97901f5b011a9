package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// TestCongestedNodeIsNotPartitioned guards against treating a congested node as a partitioned one. Everything
// that the node sends and receives arrives, but later than its peer timeout, as on a
// deployment whose uploads filled an owner's thin link. The node is not cut off, so an
// acknowledged change binds it: after the bound it must not answer that a new route is
// unknown, nor run requests of a removed one. It continues to serve requests that are
// admitted by owners with a confirmed configuration.
func TestCongestedNodeIsNotPartitioned(t *testing.T) {
	for _, lag := range []time.Duration{320 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				shape := Fumettoteca(0.3)
				f := NewFleet(t, shape, 71)
				defer f.Stop()
				seen := map[string]int{}
				node := f.Nodes[4]
				f.Log = func(entry event.Entry) {
					if entry.Node == "node-"+node.Host {
						f.mu.Lock()
						seen[entry.Name]++
						f.mu.Unlock()
					}
				}
				f.Start()
				waitForLoad := f.Load(shape.Lines, 14*time.Second)
				// The node has many callers of its own, so that bytes arrive all the time.
				ownCallers := standin.NewCallers(f.env("own", node.Host, node.Zone, &node.skew), []string{node.Host + ":8000"}, f.Observer, 15*time.Second)
				f.g.Go("own", func(context.Context) {
					for i := range 2000 {
						go ownCallers.CallAt(node.Host+":8000", shape.Lines[i%2])
						Wait(5 * time.Millisecond)
					}
				})
				Wait(2 * time.Second)
				start := time.Now()
				f.Net.SetExtraDelay(node.Host, lag)
				// The node's session expires before the change, so that the change is not
				// pushed to it.
				Wait(3 * time.Second)
				doc := strings.Replace(shape.Config, `"/credits","service":"scans"`, `"/extra","service":"pages"`, 1)
				if code, _ := f.Request("PUT", f.ControlMachines[0].Host+":7003", "/puffin/config?based_on=1&emergency=true&left_ms=2500", doc); code != 200 {
					t.Fatalf("the change was answered %d", code)
				}
				Wait(2 * time.Second)
				answers := map[string]map[int]int{"/extra/1": {}, "/credits/1": {}, "/loans/1": {}}
				for range 12 {
					for uri, codes := range answers {
						code, _ := f.Request("POST", node.Host+":8000", uri, "x")
						codes[code]++
					}
					Wait(100 * time.Millisecond)
				}
				t.Logf("answers by route: %v; events of the node: %v", answers, seen)
				if answers["/extra/1"][404] > 0 {
					t.Errorf("a route that was added is unknown after the bound: %v", answers["/extra/1"])
				}
				if answers["/credits/1"][200] > 0 {
					t.Errorf("requests of a removed route run after the bound: %v", answers["/credits/1"])
				}
				f.Net.SetExtraDelay(node.Host, 0)
				f.Until(5*time.Second, "the node has a confirmed configuration again", func() bool {
					code, _ := f.Request("POST", node.Host+":8000", "/extra/1", "x")
					return code == 200
				})
				waitForLoad()
				f.Observer.Disconnected(node.Host+":8000", start, time.Now())
			})
		})
	}
}

// TestCutStillServes checks that a node that is really partitioned is not treated as a
// congested one: it soon continues with the configuration that it has, and sooner if peers
// still answer.
func TestCutStillServes(t *testing.T) {
	for name, bound := range map[string]time.Duration{"from the core": 1500 * time.Millisecond, "from all": 3500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				shape := Fumettoteca(0.3)
				f := NewFleet(t, shape, 72)
				defer f.Stop()
				f.Start()
				waitForLoad := f.Load(shape.Lines, 8*time.Second)
				Wait(2 * time.Second)
				node, start := f.Nodes[4], time.Now()
				if name == "from all" {
					f.Net.Isolate(node.Host, true)
				} else {
					for _, c := range f.ControlMachines {
						f.Net.Cut(node.Host, c.Host, true)
						f.Net.Cut(c.Host, node.Host, true)
					}
				}
				// Requests for the node's own worker, from callers on the same machine.
				line := shape.Lines[2]
				if node.Worker.Service != line.Service {
					t.Fatalf("the node's worker is of service %s", node.Worker.Service)
				}
				ownCallers := standin.NewCallers(f.env("own", node.Host, node.Zone, &node.skew), []string{node.Host + ":8000"}, f.Observer, 15*time.Second)
				var lastFailure time.Duration
				done, refused := 0, 0
				for time.Since(start) < 5*time.Second {
					elapsed := time.Since(start)
					if c := ownCallers.CallAt(node.Host+":8000", line); c.Status == 200 {
						done++
					} else {
						refused++
						lastFailure = elapsed
					}
					Wait(20 * time.Millisecond)
				}
				t.Logf("%d served, %d failed, the last failure %v after the cut", done, refused, lastFailure)
				if lastFailure > bound || done < 5 {
					t.Errorf("%d served, and requests failed until %v after the cut", done, lastFailure)
				}
				f.Net.Isolate(node.Host, false)
				waitForLoad()
				f.Observer.Disconnected(node.Host+":8000", start, time.Now())
			})
		})
	}
}
