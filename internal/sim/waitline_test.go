package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestStopWithUnsentRequestBodies: a node shuts down while large request bodies of its
// callers wait for a slow link, each with a timeout beyond the node's exit. Every
// caller is answered before the node exits: with the full response, or with a 503 and
// Retry-After for a request that did not run. No connection is cut off.
func TestStopWithUnsentRequestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := thinShape(false)
		s.Config = strings.Replace(s.Config, `"left_ms":6000,"aim_ms":3000,"repeat":"upload"`, `"left_ms":30000,"aim_ms":24000,"repeat":"upload"`, 1)
		f := thinFleetOfShape(t, s, narrow(megabit/8))
		defer f.Stop()
		ingress, callers := f.Nodes[0], f.ownCallers()
		line := standin.CallKind{Method: "POST", URI: "/scans", Service: "scans", Size: bulkBodyBytes, AnswerSize: 1, Timeout: "30000"}
		const jobs = 6
		results := make(chan standin.Call, jobs)
		for range jobs {
			f.g.Go("ask", func(context.Context) { results <- callers.CallAt(ingress.Host+":8000", line) })
		}
		Wait(300 * time.Millisecond)
		ingress.Proxy.Stop()
		counts := collectStatuses(t, results, jobs)
		if counts[503] == 0 {
			t.Errorf("no request had to wait for the link: %v", counts)
		}
		t.Logf("statuses: %v", counts)
	})
}

// TestStopWithUnsentResponses: a node shuts down while large responses to its callers
// wait for a slow link to the node. An admitted request gets its full response before
// the node exits; one whose response would come too late is never run and gets a 503
// with Retry-After.
func TestStopWithUnsentResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := thinShape(false)
		s.Config = strings.Replace(s.Config, `"left_ms":6000,"aim_ms":3000,"repeat":"download"`, `"left_ms":30000,"aim_ms":24000,"repeat":"download"`, 1)
		f := thinFleetOfShape(t, s, narrow(megabit/4))
		defer f.Stop()
		ingress, callers := f.Nodes[0], f.ownCallers()
		line := standin.CallKind{Method: "GET", URI: "/files/7", Service: "scans", Retryable: true, AnswerSize: bulkBodyBytes, Timeout: "30000"}
		// From these the owners learn the size of the responses and the speed of the link.
		for range 6 {
			callers.CallAt(ingress.Host+":8000", line)
		}
		const jobs = 16
		results := make(chan standin.Call, jobs)
		for range jobs {
			f.g.Go("ask", func(context.Context) { results <- callers.CallAt(ingress.Host+":8000", line) })
			Wait(100 * time.Millisecond)
		}
		Wait(300 * time.Millisecond)
		ingress.Proxy.Stop()
		counts := collectStatuses(t, results, jobs)
		if counts[503] == 0 || counts[200] == 0 {
			t.Errorf("statuses: %v", counts)
		}
		t.Logf("statuses: %v", counts)
	})
}

// ownCallers returns callers that use the first node alone.
func (f *Fleet) ownCallers() *standin.Callers {
	f.Net.SetZone("10.0.9.3", "outside")
	return standin.NewCallers(f.env("own", "10.0.9.3", "outside", &f.Nodes[0].skew), nil, f.Observer, 40*time.Second)
}

// collectStatuses waits for count calls and counts them by status. Each must
// be answered 200, or 503 with Retry-After.
func collectStatuses(t *testing.T, calls chan standin.Call, count int) map[int]int {
	counts := map[int]int{}
	for range count {
		c := <-calls
		counts[c.Status]++
		if c.Status != 200 && (c.Status != 503 || c.RetryAfter == "") {
			t.Errorf("answered %d, Retry-After %q: %s", c.Status, c.RetryAfter, c.Body)
		}
	}
	return counts
}
