package sim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// edgeLoad is the number of requests per second to edges from each machine in addition to those of
// every site.
func (s *site) edgeLoad() float64 {
	if !s.traffic.Load() {
		return 0
	}
	return 5
}

// TestRouteEdges guards against requests that lie at the edge of a prefix, within a route of
// another kind or service, and get the route of that prefix: when a worker lost its answer, one that may run
// only once was sent to a second worker. Workers of both services lose half of their answers here.
func TestRouteEdges(t *testing.T) {
	skipUnderRace(t)
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRouteEdges(t, seed) })
		})
	}
}

func runRouteEdges(t *testing.T, seed uint64) {
	d := readerDeployment(seed, 0.05)
	if seed%2 == 1 {
		d = bookingDeployment(seed, 0.05)
	}
	s := newSite(t, d, seed)
	violations := s.runDay(20*time.Second, func() {
		edges := actors.EdgeRequests(d.lines, 0)
		for _, m := range s.all() {
			s.g.Go("edges", func(ctx context.Context) { m.client.Load(ctx, edges, s.edgeLoad) })
		}
		Wait(4 * time.Second)
		for i, m := range s.all() {
			if i%2 == 0 {
				m.worker.SetFaults(actors.Faults{Lose: 0.5})
			}
		}
		Wait(8 * time.Second)
		for _, m := range s.all() {
			m.worker.SetFaults(actors.Faults{})
		}
	})
	if len(violations) > 0 {
		t.Errorf("violated rules: %v", violations)
	}
	lost, unrouted := 0, 0 // of the requests to edges
	for _, attempt := range s.recorder.AttemptsOf(actors.EdgeKind) {
		if len(attempt.Arrivals) > 0 && !attempt.Retryable && attempt.Answer.Status/100 != 2 {
			lost++
		}
		if attempt.Answer.Status == 404 {
			unrouted++
		}
	}
	if lost < 8 || unrouted < 100 {
		t.Errorf("only %d requests at edges that may run once lost their answer, and %d had no route", lost, unrouted)
	}
	t.Logf("%d requests at edges lost their answer, %d had no route; %d checked for TWICE", lost, unrouted, s.recorder.Exposure()[checker.Twice])
}
