package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestQueuedOnce: a request waits for slots for at most half of its timeout, over all
// workers together. One that has waited that long at a saturated worker is not queued
// again at the next, which would hold it for three quarters of its timeout or more; but
// it takes a slot that is free elsewhere by then.
func TestQueuedOnce(t *testing.T) {
	for _, oneFree := range []bool{false, true} {
		t.Run(map[bool]string{false: "all full", true: "one free"}[oneFree], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := singleServiceShape()
				s.ServiceTimes["s"] = 40 * time.Second
				s.Config = strings.Replace(s.Config, `"left_ms":600,"aim_ms":600`, `"left_ms":9000,"aim_ms":9000`, 1)
				s.Config = strings.ReplaceAll(s.Config, `"left_ms":600,"aim_ms":600`, `"left_ms":60000,"aim_ms":60000`)
				f := NewFleet(t, s, 383)
				defer f.Stop()
				f.Start()
				callers := standin.NewCallers(f.env("own", "10.0.9.3", "outside", &f.Nodes[0].skew), nil, f.Observer, time.Minute)
				results := make(chan standin.Call, 3+3*s.Slots)
				request := func(n *Node, uri, timeout string) {
					f.g.Go("ask", func(context.Context) {
						results <- callers.CallAt(n.Host+":8000", standin.CallKind{Method: "GET", URI: uri, Service: "s", Timeout: timeout})
					})
				}
				// All slots are taken by requests that run for longer than the others
				// wait, except for one slot, whose request soon reaches its timeout if
				// oneFree is set.
				for i := range 3 * s.Slots {
					timeout := "60000"
					if oneFree && i == 0 {
						timeout = "4500"
					}
					request(f.Nodes[i%3], "/b", timeout)
					Wait(20 * time.Millisecond)
				}
				for _, n := range f.Nodes {
					if n.Worker.Ran() != s.Slots {
						t.Fatalf("%s has %d requests", n.Worker.ID, n.Worker.Ran())
					}
					n.Worker.SetBehavior(standin.WorkerBehavior{Took: 50 * time.Millisecond})
				}
				// No request has ended yet, so the nodes have no estimate of run times.
				sentAt := time.Now()
				for _, n := range f.Nodes {
					request(n, "/a", "")
					Wait(300 * time.Millisecond)
				}
				for answered := 0; answered < 3; {
					c := <-results
					if c.From.Before(sentAt) {
						continue
					}
					answered++
					waited := c.To.Sub(c.From).Seconds() / 9
					t.Logf("%d after %.3f of its timeout: %s", c.Status, waited, c.Body)
					switch {
					case oneFree && c.Status != 200:
						t.Error("a slot was free elsewhere")
					case !oneFree && (c.Status != 503 || c.Ran != "no" || c.RetryAfter == ""):
						t.Error("no slot was free at all")
					}
					if waited < 0.3 || waited > 0.52 {
						t.Errorf("held for %.3f of its timeout", waited)
					}
				}
			})
		})
	}
}
