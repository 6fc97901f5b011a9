package proxy

import (
	"testing"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/replica"
)

// TestUpdateRate checks that the updates of all nodes in a minute stay within the mesh's rate,
// whatever the number of nodes, and that the first updates of a node are not delayed.
func TestUpdateRate(t *testing.T) {
	for _, nodes := range []int{1, 40, 240, 24000} {
		start := time.Unix(0, 0)
		rate := newUpdateRate(start)
		rate.SetNodes(nodes)
		for i := range int(updateBurst(nodes)) {
			if !rate.Take(start) {
				t.Errorf("%d nodes: update %d of the burst was suppressed", nodes, i+1)
			}
		}
		published := 0
		const minute = 60
		for now := start; now.Sub(start) < minute*time.Second; now = now.Add(10 * time.Millisecond) {
			if rate.Take(now) {
				published++
			}
		}
		if limit := healthUpdatesPerSecond * minute; published*nodes > limit+nodes-1 || nodes == 1 && published < limit-1 {
			t.Errorf("%d nodes: each publishes %d per minute, limit for all %d", nodes, published, limit)
		}
	}
}

// TestFlappingHealth checks that a worker whose health changes with each check makes its node
// publish no more often than its part of the rate, and that the last state is published once
// the rate allows it.
func TestFlappingHealth(t *testing.T) {
	x := newIsolatedProxy()
	defer x.Kill()
	x.handleCall(testCall("w", stateUp, 1))
	local := x.findWorker("w")
	x.healthUpdates.SetNodes(240)
	registered := 0
	x.replica.Subscribe(func(n replica.Event) {
		if n.Kind == "registered" {
			registered++
		}
	})
	for range 200 {
		local.stats.SetWarmup(time.Hour)
		x.publishHealth(local)
		local.stats = balancer.NewWorkerStats(x.Settings.RetryWindow)
		x.publishHealth(local)
	}
	if limit := int(updateBurst(240)); registered > limit {
		t.Errorf("%d changes were published, burst limit %d", registered, limit)
	}
	local.stats.SetWarmup(time.Hour)
	x.healthUpdates.SetNodes(1)
	x.healthUpdates.filled = x.healthUpdates.filled.Add(-time.Second)
	x.publishHealth(local)
	if local.publishedSuspicion != 1 {
		t.Errorf("published suspicion %d, want 1 for a worker that is warming up", local.publishedSuspicion)
	}
}
