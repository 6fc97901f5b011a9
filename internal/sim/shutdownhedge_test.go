package sim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// firstAttemptTimesOut: a request has a timeout of 13 s, of which its first attempt
// gets six tenths so that a retry can follow; most runs take longer than that. The
// other workers leave meanwhile, and the ingress gets the stop signal. The ingress used
// to end the attempt although no other worker could take a retry, and the caller got
// 504 with four tenths of its time left: "by=attempt why=no receipt from the owner ...
// then=; no repeats are left".
func firstAttemptTimesOut(t *testing.T) {
	t.Parallel()
	const timeout, attemptTimeout, requests = 13 * time.Second, 7800 * time.Millisecond, 24
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 464, time.Second)
		defer f.Stop()
		f.allowManyRetries()
		f.Start()
		ingress, owner := f.nodeNotServing("pages"), f.nodeServing("pages")
		Wait(30 * time.Second)
		for range 3 {
			f.callAtIngress(ingress, line, 8)
		}
		owner.Worker.SetBehavior(standin.WorkerBehavior{Took: 10 * time.Second})
		line.Timeout = "13000"
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(ingress, line, requests) })
		Wait(100 * time.Millisecond)
		for _, n := range f.Nodes {
			if n != owner && n.Worker.Service == "pages" {
				n.Worker.Leave("draining")
			}
		}
		Wait(1600 * time.Millisecond)
		start := time.Now()
		ingress.Proxy.Stop()
		late := 0
		for _, c := range <-results {
			if took := c.To.Sub(c.From); c.Status != 200 && took < timeout*9/10 {
				t.Errorf("%d %s after %v, %v after the stop signal", c.Status, c.Body, took, c.To.Sub(start))
			} else if c.Status == 200 && took > attemptTimeout {
				late++
			}
		}
		if late == 0 {
			t.Error("no run outlasted the first attempt's timeout: the test shows nothing")
		}
	})
}

// secondAttemptFails: the ingress gets the stop signal while a slow worker runs its
// requests, and all other workers answer every request with a failure. The second
// attempts fail, and each request gets the answer of its first attempt.
func secondAttemptFails(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, line := stopFleet(t, 467, time.Second)
		defer f.Stop()
		f.allowManyRetries()
		f.Start()
		ingress, owner := f.nodeNotServing("pages"), f.nodeServing("pages")
		Wait(12 * time.Second)
		for range 3 {
			f.callAtIngress(ingress, line, 8)
		}
		owner.Worker.SetBehavior(standin.WorkerBehavior{Took: 8 * time.Second})
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(ingress, line, slowRequests) })
		Wait(1600 * time.Millisecond)
		for _, n := range f.Nodes {
			if n != owner && n.Worker.Service == "pages" {
				n.Worker.SetBehavior(standin.WorkerBehavior{Took: time.Second, Fail: 1})
			}
		}
		ingress.Proxy.Stop()
		for _, c := range <-results {
			if c.Status != 200 {
				t.Errorf("%d %s after %v", c.Status, c.Body, c.To.Sub(c.From))
			}
		}
		if ingress.Proxy.HedgeCount() == 0 {
			t.Error("no second attempt was begun: the test shows nothing")
		}
	})
}
