package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// nodeServing returns a node whose worker belongs to a service, or nil.
func (f *Fleet) nodeServing(service string) *Node {
	for _, n := range f.Nodes {
		if n.Worker.Service == service {
			return n
		}
	}
	return nil
}

// stopFleet returns a fleet with a service whose requests take the given time, with a
// timeout long enough for them, and another whose requests outlast any shutdown.
func stopFleet(t *testing.T, seed uint64, requestTime time.Duration) (*Fleet, standin.CallKind) {
	s := smallShape()
	s.Nodes = 6
	s.ServiceTimes["pages"], s.ServiceTimes["scans"] = requestTime, 40*time.Second
	s.Config = strings.Replace(s.Config, `"class":"upload","left_ms":1000`, `"class":"upload","left_ms":60000,"aim_ms":50000`, 1)
	s.Config = strings.Replace(s.Config, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":60000,"aim_ms":50000`, 1)
	f := NewFleet(t, s, seed)
	line := s.Lines[0]
	line.Timeout = "60000"
	return f, line
}

// TestAnswersInStop: what a node owes its callers and its peers after the stop signal.
func TestAnswersInStop(t *testing.T) {
	t.Parallel()
	t.Run("own worker", ownWorkerInStop)
	t.Run("late", lateRequestInStop)
	t.Run("for others", startsNothingForPeers)
}

// ownWorkerInStop: a node gets the stop signal while the worker beside it and others
// run requests of its callers for longer than its grace period. Each caller gets a
// complete answer, late in the grace period and before the process ends.
//
// The requests at the node's own worker got none: an attempt at another node ended with
// the stop, but one at the own worker was not told of it, so the process ended first
// and the connection was closed: "cut off 6.2 s after the order (sent on: true)".
func ownWorkerInStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 451, 40*time.Second)
		defer f.Stop()
		f.Start()
		node := f.nodeServing("pages")
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(node, line, 12) })
		Wait(400 * time.Millisecond)
		if node.Worker.Ran() == 0 {
			t.Fatal("the node's own worker has no request: the test shows nothing")
		}
		start := time.Now()
		node.Proxy.Stop()
		if took := time.Since(start); took > node.Proxy.Settings.GracePeriod {
			t.Errorf("the stop took %v of %v", took, node.Proxy.Settings.GracePeriod)
		}
		for _, c := range <-results {
			if c.Status == 0 || c.Cut {
				t.Errorf("a caller got no answer %v after the stop signal", c.To.Sub(start))
			}
			// A request that never ran may be refused with 503 at any time.
			if c.Status != 503 && c.To.Sub(start) < node.Proxy.Settings.GracePeriod*5/6 {
				t.Errorf("%d after %v, before the last sixth of the grace period", c.Status, c.To.Sub(start))
			}
		}
	})
}

// lateRequestInStop: a request that reaches a node in the second half of its grace
// period is begun only if its own timeout ends before the node does; otherwise its
// caller is told at once that it did not run, and when to retry. A request that comes
// early in the grace period is accepted.
//
// Such a request used to be begun by an estimate of its run time, and broken off where
// it took longer: one that came 4.94 s into a grace period of 6 s was ended after 5.10
// s.
func lateRequestInStop(t *testing.T) {
	for _, c := range []struct {
		name     string
		fraction float64 // of the grace period
		left     string
		taken    bool
	}{
		{"early", 0.15, "60000", true},
		{"late, with time beyond the end", 0.55, "60000", false},
		{"late, with a little time", 0.55, "800", true},
		{"at the end, with a little time", 0.84, "800", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, line := stopFleet(t, 452, 300*time.Millisecond)
				defer f.Stop()
				f.Start()
				node := f.nodeServing("scans")
				f.callAtIngress(node, line, 3)
				// These requests keep the node from ending earlier.
				long := smallShape().Lines[2]
				long.Timeout = "60000"
				f.g.Go("held", func(context.Context) { f.callAtIngress(node, long, 8) })
				Wait(100 * time.Millisecond)
				stopped := make(chan struct{})
				f.g.Go("stop", func(context.Context) { node.Proxy.Stop(); close(stopped) })
				Wait(time.Duration(c.fraction * float64(node.Proxy.Settings.GracePeriod)))
				line.Timeout = c.left
				got := f.callAtIngress(node, line, 1)[0]
				if c.taken != (got.Status == 200) {
					t.Errorf("%d %s", got.Status, got.Body)
				}
				if !c.taken && (got.Status != 503 || got.RetryAfter == "" || got.To.Sub(got.From) > 200*time.Millisecond) {
					t.Errorf("%d, retry %q, after %v", got.Status, got.RetryAfter, got.To.Sub(got.From))
				}
				<-stopped
			})
		})
	}
}

// startsNothingForPeers: a node that got the stop signal is given no runs that its
// worker cannot finish before the node ends, judged by the usual run time there; other
// nodes get them.
//
// It used to begin them, and they were broken off at its end: "got 502 ... 3.0 s after
// the order to end" at ingresses that were stopping as well.
func startsNothingForPeers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 453, 12*time.Second) // run times of 6 to 18 s with a grace period of 15 s
		defer f.Stop()
		f.Start()
		stopping := f.nodeServing("pages")
		ingress := f.nodeNotServing("pages")
		f.callAtIngress(ingress, line, 24)
		// These requests keep the node waiting in its shutdown.
		results := make(chan []standin.Call, 1)
		f.g.Go("before", func(context.Context) { results <- f.callAtIngress(ingress, line, 6) })
		Wait(time.Second)
		stopped := make(chan struct{})
		f.g.Go("stop", func(context.Context) { stopping.Proxy.Stop(); close(stopped) })
		Wait(200 * time.Millisecond)
		before := stopping.Worker.Ran()
		for _, c := range f.callAtIngress(ingress, line, 12) {
			if c.Status != 200 && c.Status != 503 {
				t.Errorf("%d %s after %v", c.Status, c.Body, c.To.Sub(c.From))
			}
		}
		if n := stopping.Worker.Ran() - before; n > 0 {
			t.Errorf("%d runs were begun for peers", n)
		}
		<-results
		<-stopped
	})
}

// TestFreshNodeInStop: a node that has just started and has seen no run end gets the
// stop signal. It begins no runs for peers that may outlast it, since it cannot tell
// how long they take; other nodes get them.
//
// Seen as a fault: a run was begun 1.13 s after the stop signal and ended with the node
// 4.08 s later, while another node could have had it.
func TestFreshNodeInStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 454, 20*time.Second)
		defer f.Stop()
		f.Start()
		stopping := f.nodeServing("pages")
		ingress := f.nodeNotServing("pages")
		// These requests keep the node waiting in its shutdown.
		results := make(chan []standin.Call, 1)
		f.g.Go("before", func(context.Context) { results <- f.callAtIngress(ingress, line, 8) })
		Wait(time.Second)
		stopped := make(chan struct{})
		f.g.Go("stop", func(context.Context) { stopping.Proxy.Stop(); close(stopped) })
		Wait(200 * time.Millisecond)
		before := stopping.Worker.Ran()
		f.callAtIngress(ingress, line, 12)
		if n := stopping.Worker.Ran() - before; n > 0 {
			t.Errorf("%d runs were begun for peers", n)
		}
		<-results
		<-stopped
	})
}
