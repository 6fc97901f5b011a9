package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// atFront calls a line so many times at one node, all at once, and gives what came.
func (f *Fleet) atFront(n *Node, l standin.Line, count int) (calls []standin.Call) {
	callers := standin.NewCallers(f.env("own", "10.0.9.3", "outside", &n.skew), nil, f.Obs, 60*time.Second)
	results := make(chan standin.Call, count)
	for range count {
		f.g.Go("ask", func(context.Context) { results <- callers.At(n.Host+":8000", l) })
	}
	for range count {
		calls = append(calls, <-results)
	}
	return calls
}

// other is a node whose worker is none of a service's.
func (f *Fleet) other(service string) *Node {
	for _, n := range f.Nodes {
		if n.Worker.Service != service {
			return n
		}
	}
	return nil
}

// TestStopStartsNoLongRequest: a node that was told to end takes a job that its worker
// can't end before the node goes. It isn't begun and then broken off at work: the
// caller is told at once that it did not run, and when to come back.
func TestStopStartsNoLongRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := small()
		// Each run takes half to one and a half of it, and so longer than a grace.
		s.Took["pages"] = 32 * time.Second
		s.Doc = strings.Replace(s.Doc, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":60000,"aim_ms":50000`, 1)
		f := NewFleet(t, s, 431)
		defer f.Stop()
		f.Start()
		line := s.Lines[0]
		line.Left = "60000"
		ingress := f.other("pages")
		// Its owner knows how long they run.
		for _, c := range f.atFront(ingress, line, 3) {
			if c.Status != 200 {
				t.Fatalf("before the order: %d %s", c.Status, c.Body)
			}
		}
		stopped := make(chan struct{})
		f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop(); close(stopped) })
		Wait(500 * time.Millisecond)
		for _, c := range f.atFront(ingress, line, 4) {
			if c.Status != 503 || c.Retry == "" || c.To.Sub(c.From) > time.Second {
				t.Errorf("after the order: %d %s, retry %q, after %v", c.Status, c.Body, c.Retry, c.To.Sub(c.From))
			}
		}
		<-stopped
	})
}

// TestStopReservesNoRetryTime: at a node that was told to end, jobs that may be repeated run
// for more than half of their time. None is ended at work for a repeat that can't be
// done any more: each has its worker's answer.
func TestStopReservesNoRetryTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := small()
		s.Nodes = 6
		s.Took["pages"] = 600 * time.Millisecond // 300 to 900, of 1000
		f := NewFleet(t, s, 432)
		defer f.Stop()
		f.Start()
		ingress := f.other("pages")
		// Others of the service, so that repeats are to be had.
		lookup := standin.Line{Method: "GET", URI: "/lookups/7", Service: "pages", Safe: true, Left: "3000"}
		for range 4 {
			f.atFront(ingress, lookup, 8)
		}
		f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop() })
		Wait(500 * time.Millisecond)
		for _, c := range f.atFront(ingress, s.Lines[0], 8) {
			if c.Status != 200 {
				t.Errorf("%d %s after %v", c.Status, c.Body, c.To.Sub(c.From))
			}
		}
		Wait(15 * time.Second)
	})
}
