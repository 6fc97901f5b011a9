package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// ofService is a node whose worker is one of a service.
func (f *Fleet) ofService(service string) *Node {
	for _, n := range f.Nodes {
		if n.Worker.Service == service {
			return n
		}
	}
	return nil
}

// stopFleet has one service whose requests take a time, time enough for them, and
// another whose requests outlast any stop.
func stopFleet(t *testing.T, seed uint64, requestTime time.Duration) (*Fleet, standin.Line) {
	s := small()
	s.Nodes = 6
	s.Took["pages"], s.Took["scans"] = requestTime, 40*time.Second
	s.Doc = strings.Replace(s.Doc, `"class":"upload","left_ms":1000`, `"class":"upload","left_ms":60000,"aim_ms":50000`, 1)
	s.Doc = strings.Replace(s.Doc, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":60000,"aim_ms":50000`, 1)
	f := NewFleet(t, s, seed)
	line := s.Lines[0]
	line.Left = "60000"
	return f, line
}

// TestAnswersInStop: what a node owes its callers, and others, once it was told to end.
func TestAnswersInStop(t *testing.T) {
	t.Parallel()
	t.Run("own worker", ownWorkerInStop)
	t.Run("late", lateRequestInStop)
	t.Run("for others", startsNothingForPeers)
}

// ownWorkerInStop: a node is told to end while the worker beside it, and others,
// are at work on requests of its callers for longer than its grace. Each caller gets
// a whole answer, late in the grace and before the process ends.
//
// Those at the node's own worker got none: an attempt at another node ended with the
// stop, one at the own worker knew nothing of it, so the process ended first and the
// connection was closed: "cut off 6.2 s after the order (sent on: true)".
func ownWorkerInStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 451, 40*time.Second)
		defer f.Stop()
		f.Start()
		node := f.ofService("pages")
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.atFront(node, line, 12) })
		Wait(400 * time.Millisecond)
		if node.Worker.Ran() == 0 {
			t.Fatal("the own worker has no request: the test shows nothing")
		}
		start := time.Now()
		node.Proxy.Stop()
		if took := time.Since(start); took > node.Proxy.Settings.GracePeriod {
			t.Errorf("the stop took %v of %v", took, node.Proxy.Settings.GracePeriod)
		}
		for _, c := range <-results {
			if c.Status == 0 || c.Cut {
				t.Errorf("a caller got no answer %v after the order", c.To.Sub(start))
			}
			// What never ran may be told so at any time.
			if c.Status != 503 && c.To.Sub(start) < node.Proxy.Settings.GracePeriod*5/6 {
				t.Errorf("%d after %v, before the last sixth of the grace", c.Status, c.To.Sub(start))
			}
		}
	})
}

// lateRequestInStop: a request that comes to a node in the second half of its grace is
// begun only if its own time is over before the node ends; else its caller is told at
// once that it did not run, and when to come back. One that comes early in the stop
// is taken.
//
// It was begun by an estimate of how long it takes, and broken off where it took
// longer: one that came 4.94 s into a grace of 6 s was ended after 5.10 s.
func lateRequestInStop(t *testing.T) {
	for _, c := range []struct {
		name     string
		fraction float64 // of the grace
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
				node := f.ofService("scans")
				f.atFront(node, line, 3)
				// Another keeps the node from ending before.
				long := small().Lines[2]
				long.Left = "60000"
				f.g.Go("held", func(context.Context) { f.atFront(node, long, 8) })
				Wait(100 * time.Millisecond)
				stopped := make(chan struct{})
				f.g.Go("stop", func(context.Context) { node.Proxy.Stop(); close(stopped) })
				Wait(time.Duration(c.fraction * float64(node.Proxy.Settings.GracePeriod)))
				line.Left = c.left
				got := f.atFront(node, line, 1)[0]
				if c.taken != (got.Status == 200) {
					t.Errorf("%d %s", got.Status, got.Body)
				}
				if !c.taken && (got.Status != 503 || got.Retry == "" || got.To.Sub(got.From) > 200*time.Millisecond) {
					t.Errorf("%d, retry %q, after %v", got.Status, got.Retry, got.To.Sub(got.From))
				}
				<-stopped
			})
		})
	}
}

// startsNothingForPeers: a node that was told to end is not given runs that
// its worker can't end before the node goes, by what such runs take there; others
// have them.
//
// It began them as before, and they were broken off with it: "got 502 ... 3.0 s after
// the order to end" at fronts that were told to end as well.
func startsNothingForPeers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 453, 12*time.Second) // half to one and a half of it, of a grace of 15 s
		defer f.Stop()
		f.Start()
		stopping := f.ofService("pages")
		ingress := f.other("pages")
		f.atFront(ingress, line, 24)
		// So that the node has to wait.
		results := make(chan []standin.Call, 1)
		f.g.Go("before", func(context.Context) { results <- f.atFront(ingress, line, 6) })
		Wait(time.Second)
		stopped := make(chan struct{})
		f.g.Go("stop", func(context.Context) { stopping.Proxy.Stop(); close(stopped) })
		Wait(200 * time.Millisecond)
		before := stopping.Worker.Ran()
		for _, c := range f.atFront(ingress, line, 12) {
			if c.Status != 200 && c.Status != 503 {
				t.Errorf("%d %s after %v", c.Status, c.Body, c.To.Sub(c.From))
			}
		}
		if n := stopping.Worker.Ran() - before; n > 0 {
			t.Errorf("%d runs were begun for others", n)
		}
		<-results
		<-stopped
	})
}

// TestFreshNodeInStop: a node that has just started, and has seen no run end, is told to
// end. It begins no run for others that may outlast it, since it can't tell how long
// they take; others have them.
//
// It begins them: one was begun 1.13 s after the order and ended with the node 4.08 s
// later, while another node could have had it.
func TestFreshNodeInStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 454, 20*time.Second)
		defer f.Stop()
		f.Start()
		stopping := f.ofService("pages")
		ingress := f.other("pages")
		// So that the node has to wait.
		results := make(chan []standin.Call, 1)
		f.g.Go("before", func(context.Context) { results <- f.atFront(ingress, line, 8) })
		Wait(time.Second)
		stopped := make(chan struct{})
		f.g.Go("stop", func(context.Context) { stopping.Proxy.Stop(); close(stopped) })
		Wait(200 * time.Millisecond)
		before := stopping.Worker.Ran()
		f.atFront(ingress, line, 12)
		if n := stopping.Worker.Ran() - before; n > 0 {
			t.Errorf("%d runs were begun for others", n)
		}
		<-results
		<-stopped
	})
}
