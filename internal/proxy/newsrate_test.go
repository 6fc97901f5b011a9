package proxy

import (
	"testing"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/replica"
)

// TestNewsRate: what all nodes together tell in a minute stays within the mesh's
// rate, whatever their number; a node's first news are told at once.
func TestNewsRate(t *testing.T) {
	for _, nodes := range []int{1, 40, 240, 24000} {
		start := time.Unix(0, 0)
		rate := newNewsRate(start)
		rate.Nodes(nodes)
		for i := range int(newsAtOnce(nodes)) {
			if !rate.Take(start) {
				t.Errorf("%d nodes: news %d is not told at once", nodes, i+1)
			}
		}
		told := 0
		const minute = 60
		for now := start; now.Sub(start) < minute*time.Second; now = now.Add(10 * time.Millisecond) {
			if rate.Take(now) {
				told++
			}
		}
		if most := fitnessNewsPerSecond * minute; told*nodes > most+nodes-1 || nodes == 1 && told < most-1 {
			t.Errorf("%d nodes: each tells %d in a minute, all of them may tell %d", nodes, told, most)
		}
	}
}

// TestFlappingFitness: a worker whose fitness changes with each look makes its node
// tell the mesh of it no more often than its part of the rate, and the last state
// is told once the rate lets it.
func TestFlappingFitness(t *testing.T) {
	x := lone()
	defer x.Kill()
	x.takeCall(call("w", saysUp, 1))
	g := x.gateOf("w")
	x.fitnessNews.Nodes(240)
	registered := 0
	x.rep.Subscribe(func(n replica.Event) {
		if n.Kind == "registered" {
			registered++
		}
	})
	for range 200 {
		g.own.SetWarmup(time.Hour)
		x.doubt(g)
		g.own = balancer.NewWorkerStats(x.Settings.RetryWindow)
		x.doubt(g)
	}
	if most := int(newsAtOnce(240)); registered > most {
		t.Errorf("%d changes were told, %d may be at once", registered, most)
	}
	g.own.SetWarmup(time.Hour)
	x.fitnessNews.Nodes(1)
	x.fitnessNews.filled = x.fitnessNews.filled.Add(-time.Second)
	x.doubt(g)
	if g.told != 1 {
		t.Errorf("doubts told are %d, the worker says that it is cold", g.told)
	}
}
