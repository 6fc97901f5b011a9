package sim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestStopWhileWaiting: a node shuts down while a request of its caller waits
// for a slot at another node, for longer than the shutdown may take. No worker ever had
// the request, so the caller gets a 503 with Retry-After before the node exits, and its
// connection is not cut. This holds for requests before and after the stop signal.
func TestStopWhileWaiting(t *testing.T) {
	for _, after := range []time.Duration{-300 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprint("job after ", after), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := smallShape()
				s.Slots = 1
				s.ServiceTimes["pages"] = 20 * time.Second
				s.Config = strings.Replace(s.Config, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":30000,"aim_ms":24000`, 1)
				f := NewFleet(t, s, 430)
				defer f.Stop()
				f.Start()
				callers := standin.NewCallers(f.env("own", "10.0.9.3", "outside", &f.Nodes[0].skew), nil, f.Observer, 30*time.Second)
				line := s.Lines[0]
				line.Timeout = "30000"
				results := make(chan standin.Call, 3)
				request := func(n *Node) {
					f.g.Go("ask", func(context.Context) { results <- callers.CallAt(n.Host+":8000", line) })
				}
				var ingress *Node
				for _, n := range f.Nodes {
					if n.Worker.Service != "pages" {
						ingress = n
					}
				}
				// A first request takes the only slot of the worker.
				request(f.Nodes[0])
				Wait(500 * time.Millisecond)
				stopped := make(chan time.Time, 1)
				stop := func() {
					f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop(); stopped <- time.Now() })
				}
				if after < 0 {
					request(ingress)
					Wait(-after)
					stop()
				} else {
					stop()
					Wait(after)
					request(ingress)
				}
				from := time.Now()
				c := <-results
				if c.Ingress != ingress.Host+":8000" {
					t.Fatalf("the first request ended early: %+v", c)
				}
				t.Logf("%d %s after %v: %s", c.Status, c.Ran, c.To.Sub(from), c.Body)
				if c.Status != 503 || c.RetryAfter == "" {
					t.Errorf("the waiting request was answered %d, Retry-After %q", c.Status, c.RetryAfter)
				}
				if took := (<-stopped).Sub(from); took > 14*time.Second { // of a grace period of 15 s
					t.Errorf("the shutdown took %v, want at most 14s", took)
				}
			})
		})
	}
}
