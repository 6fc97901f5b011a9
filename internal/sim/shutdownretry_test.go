package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// slowRun is a fleet in which one worker of a service runs requests of another node far
// longer than the service's other workers do.
type slowRun struct {
	*Fleet
	ingress *Node // where the requests came in
	owner   *Node // beside the slow worker
	line    standin.CallKind
	results chan []standin.Call
	atSlow  int
}

// slowRequests is the number of requests sent at once; some of them reach the slow
// worker.
const slowRequests = 12

// allowManyRetries gives each node a retry allowance that no test exhausts.
func (f *Fleet) allowManyRetries() {
	f.Shape.Config = strings.Replace(f.Shape.Config, `{"services"`, `{"limits":{"repeat_allowance":300},"services"`, 1)
}

// startSlowRun sends requests that may be retried and returns once some are still
// running at a slow worker while those at the other workers have ended. The callers
// wait for the given timeout. The ingress has learned the usual run time of such
// requests before.
func startSlowRun(t *testing.T, seed uint64, usualTime time.Duration, timeout string) *slowRun {
	t.Helper()
	f, line := stopFleet(t, seed, usualTime)
	f.allowManyRetries()
	f.Start()
	r := &slowRun{Fleet: f, ingress: f.nodeNotServing("pages"), owner: f.nodeServing("pages"), line: line, results: make(chan []standin.Call, 1)}
	r.line.Timeout = timeout
	// A node can use its share of the retries only when a window has passed since its
	// start.
	Wait(12 * time.Second)
	for range 3 {
		f.callAtIngress(r.ingress, line, 8)
	}
	r.owner.Worker.SetBehavior(standin.WorkerBehavior{Took: 80 * time.Second})
	before := r.owner.Worker.Runs()
	f.g.Go("call", func(context.Context) { r.results <- f.callAtIngress(r.ingress, r.line, slowRequests) })
	Wait(usualTime*3/2 + time.Second)
	if r.atSlow = r.owner.Worker.Runs() - before; r.atSlow == 0 || r.atSlow == slowRequests {
		t.Fatalf("%d of %d requests are at the slow worker: the test shows nothing", r.atSlow, slowRequests)
	}
	return r
}

// checkAnswers checks that all requests but the allowed number have a worker's answer.
func (r *slowRun) checkAnswers(t *testing.T, allowed int, start time.Time) {
	t.Helper()
	failed := 0
	for _, c := range <-r.results {
		if c.Status != 200 {
			failed++
			t.Logf("%d %s %v after the stop signal", c.Status, c.Body, c.To.Sub(start))
		}
	}
	if failed > allowed {
		t.Errorf("%d requests have no answer of a worker; %d were at the slow worker", failed, r.atSlow)
	}
}

// TestRunsOutlastTheirNode: a request that may be retried, and is running at a node
// that ends before the run does, is answered by another worker.
func TestRunsOutlastTheirNode(t *testing.T) {
	t.Parallel()
	t.Run("both nodes end", bothNodesEnd)
	t.Run("the owner ends", ownerEnds)
	t.Run("the front ends", ingressEndsUnderSlowRun)
	t.Run("the owner is killed", ownerKilledUnderStop)
	t.Run("part of the time", firstAttemptTimesOut)
	t.Run("the second fails", secondAttemptFails)
}

// bothNodesEnd: the node beside a slow worker gets the stop signal, and 224/600 of a
// grace period later the ingress does. Other workers are free all the time.
//
// A second attempt used to be begun only when the run was lost, at the end of the
// owner's shutdown, and was refused because the estimated run time went beyond the end
// of the ingress: "by=owner why=its node is ending owner_stop_ms=5202 then=a node on
// its way ends before it would be done". The caller got 502 at once, 2.96 s after the
// ingress's stop signal, although the owner had known since its own stop signal that it
// would end.
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

// ownerEnds: only the node beside the slow worker gets the stop signal. Its runs must
// be answered by other workers before it ends; they used to be lost at its end and
// begun again only then.
func ownerEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := startSlowRun(t, 465, 4500*time.Millisecond, "60000")
		defer r.Stop()
		start := time.Now()
		r.g.Go("stop-owner", func(context.Context) { r.owner.Proxy.Stop() })
		for _, c := range <-r.results {
			if took := c.To.Sub(start); c.Status != 200 || took > r.owner.Proxy.Settings.GracePeriod*8/10 {
				t.Errorf("%d %s %v after the stop signal", c.Status, c.Body, took)
			}
		}
	})
}

// ingressEndsUnderSlowRun: only the ingress gets the stop signal. At its end it used to
// answer 502 to the requests at the slow worker although other workers were free.
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

// ownerKilledUnderStop: a node is killed while the ingress is shutting down with less
// time left than such requests may take. A retry used to be refused for that, so that
// the caller was certain to get 502; if it is begun all the same, most end in time.
func ownerKilledUnderStop(t *testing.T) {
	t.Parallel()
	const requests = 4 * slowRequests
	synctest.Test(t, func(t *testing.T) {
		// Such requests take 4 to 12 s.
		f, line := stopFleet(t, 463, 8*time.Second)
		defer f.Stop()
		f.Shape.Slots = 2 * requests
		f.allowManyRetries()
		f.Start()
		ingress := f.nodeNotServing("pages")
		Wait(12 * time.Second)
		// The nodes' estimates of run times are smoothed over many requests.
		for range 8 {
			f.callAtIngress(ingress, line, 16)
		}
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(ingress, line, requests) })
		Wait(500 * time.Millisecond)
		start := time.Now()
		f.g.Go("stop", func(context.Context) { ingress.Proxy.Stop() })
		// That leaves 10 s in which the ingress waits for retries.
		Wait(3 * time.Second)
		owner := f.nodeServing("pages")
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
				t.Logf("%d %s %v after the stop signal", c.Status, c.Body, c.To.Sub(start))
			}
		}
		// A quarter of the retries, and a sixth of the other requests, take too long.
		if failed > requests*2/5 {
			t.Errorf("%d of %d requests have no answer of a worker", failed, requests)
		}
	})
}
