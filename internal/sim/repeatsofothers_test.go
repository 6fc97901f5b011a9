package sim

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestRetriesOfOthers: a graceful shutdown needs more retries than the ingress has
// left in its budget. The owners that take the retries pay for the rest from their own
// budgets, so that the limit of the whole cluster holds: one retry for each node here.
//
// The failure: an ingress that was shutting down gave requests up with "no repeats are
// left" while hardly any other node had used its budget.
func TestRetriesOfOthers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const nodes, workers = 12, 4
		s := smallShape()
		s.Nodes = nodes
		s.ServiceTimes["pages"] = 4500 * time.Millisecond
		s.Config = strings.Replace(s.Config, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":60000,"aim_ms":50000`, 1)
		s.Config = strings.Replace(s.Config, `{"services"`, `{"limits":{"repeat_share":0,"repeat_allowance":12},"services"`, 1)
		f := NewFleet(t, s, 466)
		f.Settings = map[string]any{"window_ms": json.Number("60000")}
		defer f.Stop()
		f.Start()
		line := s.Lines[0]
		line.Timeout = "60000"
		ingress, owner := f.nodeNotServing("pages"), f.nodeServing("pages")
		Wait(62 * time.Second)
		for range 3 {
			f.callAtIngress(ingress, line, 8)
		}
		owner.Worker.SetBehavior(standin.WorkerBehavior{Took: 80 * time.Second})
		before := owner.Worker.Runs()
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(ingress, line, 3*slowRequests) })
		Wait(8 * time.Second)
		running := owner.Worker.Runs() - before
		if running <= workers {
			t.Fatalf("only %d requests run at the slow worker, too few for the test", running)
		}
		f.g.Go("stop-owner", func(context.Context) { owner.Proxy.Stop() })
		Wait(owner.Proxy.Settings.GracePeriod * 224 / 600)
		ingress.Proxy.Stop()
		lost := 0
		for _, c := range <-results {
			if c.Status != 200 {
				lost++
			}
		}
		// One retry is paid by the ingress and one by the node of each other worker.
		if answered := running - lost; answered != workers {
			t.Errorf("%d of %d requests were answered by a retry, want %d", answered, running, workers)
		}
	})
}
