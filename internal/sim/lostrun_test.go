package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// slowRun is a fleet in which one worker of a service is at work on requests of another
// node, far longer than the service's other workers take for them.
type slowRun struct {
	*Fleet
	ingress *Node // at which the requests came
	owner   *Node // beside the slow worker
	line    standin.Line
	results chan []standin.Call
	atSlow  int
}

// slowRequests is how many requests come at once; some of them to the slow worker.
const slowRequests = 12

// allowManyRetries gives each node enough repeats for all that a test asks for.
func (f *Fleet) allowManyRetries() {
	f.S.Doc = strings.Replace(f.S.Doc, `{"services"`, `{"limits":{"repeat_allowance":300},"services"`, 1)
}

// startSlowRun begins requests that may be repeated, of which some are at work at a
// slow worker when it comes back, and those at the other workers have ended. Their
// callers wait for so long. The front has learned what such requests usually take.
func startSlowRun(t *testing.T, seed uint64, usualTime time.Duration, timeout string) *slowRun {
	t.Helper()
	f, line := stopFleet(t, seed, usualTime)
	f.allowManyRetries()
	f.Start()
	r := &slowRun{Fleet: f, ingress: f.other("pages"), owner: f.ofService("pages"), line: line, results: make(chan []standin.Call, 1)}
	r.line.Left = timeout
	// A node counts on its part of the repeats once a window has passed since its start.
	Wait(12 * time.Second)
	for range 3 {
		f.atFront(r.ingress, line, 8)
	}
	r.owner.Worker.Behave(standin.Way{Took: 80 * time.Second})
	before := r.owner.Worker.Runs()
	f.g.Go("call", func(context.Context) { r.results <- f.atFront(r.ingress, r.line, slowRequests) })
	Wait(usualTime*3/2 + time.Second)
	if r.atSlow = r.owner.Worker.Runs() - before; r.atSlow == 0 || r.atSlow == slowRequests {
		t.Fatalf("%d of %d requests are at the slow worker: the test shows nothing", r.atSlow, slowRequests)
	}
	return r
}

// checkAnswers checks that each request has a worker's answer, but for some.
func (r *slowRun) checkAnswers(t *testing.T, allowed int, start time.Time) {
	t.Helper()
	failed := 0
	for _, c := range <-r.results {
		if c.Status != 200 {
			failed++
			t.Logf("%d %s %v after the order", c.Status, c.Body, c.To.Sub(start))
		}
	}
	if failed > allowed {
		t.Errorf("%d of %d requests that were at the slow worker have no answer of a worker", failed, r.atSlow)
	}
}

// TestRunsOutlastTheirNode: what may be repeated, and is at work at a node that ends
// before the run does, is answered by another worker.
func TestRunsOutlastTheirNode(t *testing.T) {
	t.Parallel()
	t.Run("both nodes end", bothNodesEnd)
	t.Run("the owner ends", ownerEnds)
	t.Run("the front ends", ingressEndsUnderSlowRun)
	t.Run("the owner is killed", ownerKilledUnderStop)
	t.Run("part of the time", firstAttemptTimesOut)
	t.Run("the second fails", secondAttemptFails)
}

// bothNodesEnd: the node beside a slow worker is told to end, and 2.24 parts of 6 of a
// grace later the node at which the requests came. Other workers are free all the time.
//
// A second attempt was begun when the run was lost, at the end of the owner's stop, and
// refused, since by what such requests take it would not end before the front did:
// "by=owner why=its node is ending owner_stop_ms=5202 then=a node on its way ends before
// it would be done". The caller got 502 at once, 2.96 s after the front's order. The
// owner knew from its order on that it would end, and the others were free.
func bothNodesEnd(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := startSlowRun(t, 461, 4500*time.Millisecond, "60000")
		defer r.Stop()
		start := time.Now()
		r.g.Go("stop-owner", func(context.Context) { r.owner.Proxy.Stop() })
		Wait(r.owner.Proxy.Settings.GracePeriod * 224 / 600)
		r.ingress.Proxy.Stop()
		r.checkAnswers(t, 0, start)
	})
}

// ownerEnds: only the node beside the slow worker is told to end. Its runs are answered
// from elsewhere before it goes; they were lost at its end, and begun anew only then.
func ownerEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := startSlowRun(t, 465, 4500*time.Millisecond, "60000")
		defer r.Stop()
		start := time.Now()
		r.g.Go("stop-owner", func(context.Context) { r.owner.Proxy.Stop() })
		for _, c := range <-r.results {
			if took := c.To.Sub(start); c.Status != 200 || took > r.owner.Proxy.Settings.GracePeriod*8/10 {
				t.Errorf("%d %s %v after the order", c.Status, c.Body, took)
			}
		}
	})
}

// ingressEndsUnderSlowRun: only the node at which the requests came is told to end. It
// answered 502 at its end for what was at the slow worker, with other workers free.
func ingressEndsUnderSlowRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := startSlowRun(t, 462, 4500*time.Millisecond, "60000")
		defer r.Stop()
		start := time.Now()
		r.ingress.Proxy.Stop()
		r.checkAnswers(t, 0, start)
	})
}

// ownerKilledUnderStop: a node is gone without a word while the node at which requests
// came is in its stop, with less time left than such requests may take. A
// repeat was refused for that, so that the caller got 502 for certain; begun all the
// same, most end in time.
func ownerKilledUnderStop(t *testing.T) {
	t.Parallel()
	const requests = 4 * slowRequests
	synctest.Test(t, func(t *testing.T) {
		// Such requests take 4 to 12 s.
		f, line := stopFleet(t, 463, 8*time.Second)
		defer f.Stop()
		f.S.Slots = 2 * requests
		f.allowManyRetries()
		f.Start()
		ingress := f.other("pages")
		Wait(12 * time.Second)
		// The nodes smooth what they learn over many requests.
		for range 8 {
			f.atFront(ingress, line, 16)
		}
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.atFront(ingress, line, requests) })
		Wait(500 * time.Millisecond)
		start := time.Now()
		f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop() })
		// What is begun anew then is waited for during 10 s.
		Wait(3 * time.Second)
		owner := f.ofService("pages")
		for _, n := range f.Nodes {
			if n.Worker.Service == "pages" && n.Proxy.ActiveAttempts() > owner.Proxy.ActiveAttempts() {
				owner = n
			}
		}
		f.KillNode(owner)
		failed := 0
		for _, c := range <-results {
			if c.Status != 200 {
				failed++
				t.Logf("%d %s %v after the order", c.Status, c.Body, c.To.Sub(start))
			}
		}
		// A quarter of those that are begun anew, and a sixth of the others, take too long.
		if failed > requests*2/5 {
			t.Errorf("%d of %d requests have no answer of a worker", failed, requests)
		}
	})
}
