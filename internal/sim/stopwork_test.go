package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// callAtIngress sends count concurrent requests to one node and returns their results.
func (f *Fleet) callAtIngress(n *Node, l standin.CallKind, count int) (calls []standin.Call) {
	callers := standin.NewCallers(f.env("own", "10.0.9.3", "outside", &n.skew), nil, f.Observer, 60*time.Second)
	results := make(chan standin.Call, count)
	for range count {
		f.g.Go("ask", func(context.Context) { results <- callers.CallAt(n.Host+":8000", l) })
	}
	for range count {
		calls = append(calls, <-results)
	}
	return calls
}

// nodeNotServing returns a node whose worker belongs to another service.
func (f *Fleet) nodeNotServing(service string) *Node {
	for _, n := range f.Nodes {
		if n.Worker.Service != service {
			return n
		}
	}
	return nil
}

// TestStopStartsNoLongRequest: a node that is shutting down gets a request that would
// run beyond the node's exit. The node refuses it instead of starting it and aborting
// it later: the caller gets a 503 with Retry-After at once and knows that it did not run.
func TestStopStartsNoLongRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallShape()
		// A run takes 0.5 to 1.5 times as long, which is longer than the grace period.
		s.ServiceTimes["pages"] = 32 * time.Second
		s.Config = strings.Replace(s.Config, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":60000,"aim_ms":50000`, 1)
		f := NewFleet(t, s, 431)
		defer f.Stop()
		f.Start()
		line := s.Lines[0]
		line.Timeout = "60000"
		ingress := f.nodeNotServing("pages")
		// From these its owner learns how long the runs take.
		for _, c := range f.callAtIngress(ingress, line, 3) {
			if c.Status != 200 {
				t.Fatalf("before the stop signal: %d %s", c.Status, c.Body)
			}
		}
		stopped := make(chan struct{})
		f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop(); close(stopped) })
		Wait(500 * time.Millisecond)
		for _, c := range f.callAtIngress(ingress, line, 4) {
			if c.Status != 503 || c.RetryAfter == "" || c.To.Sub(c.From) > time.Second {
				t.Errorf("after the stop signal: %d %s, Retry-After %q, after %v", c.Status, c.Body, c.RetryAfter, c.To.Sub(c.From))
			}
		}
		<-stopped
	})
}

// TestStopReservesNoRetryTime: at a node that is shutting down, retryable requests run
// for more than half of their timeout. None is aborted to leave time for a retry that
// is no longer possible: each gets the response of its worker.
func TestStopReservesNoRetryTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallShape()
		s.Nodes = 6
		s.ServiceTimes["pages"] = 600 * time.Millisecond // runs take 300 to 900 ms of a timeout of 1000 ms
		f := NewFleet(t, s, 432)
		defer f.Stop()
		f.Start()
		ingress := f.nodeNotServing("pages")
		// Other requests of the service earn retry budget.
		lookup := standin.CallKind{Method: "GET", URI: "/lookups/7", Service: "pages", Retryable: true, Timeout: "3000"}
		for range 4 {
			f.callAtIngress(ingress, lookup, 8)
		}
		f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop() })
		Wait(500 * time.Millisecond)
		for _, c := range f.callAtIngress(ingress, s.Lines[0], 8) {
			if c.Status != 200 {
				t.Errorf("%d %s after %v", c.Status, c.Body, c.To.Sub(c.From))
			}
		}
		Wait(15 * time.Second)
	})
}
