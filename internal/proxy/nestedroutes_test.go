package proxy

import (
	"math/rand/v2"
	"testing"
)

// TestNestedRoutes checks that a route called by the requests of two services is told from one
// that outside callers use at all nodes, that a change is noticed, and that few requests decide
// nothing.
func TestNestedRoutes(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 6))
	callerServices := []string{"a", "a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c"}
	randomCaller := func() string { return callerServices[rnd.IntN(len(callerServices))] }
	routes := newNestedRoutes()
	for i := range 4000 {
		routes.recordCaller("first", randomCaller())
		if routes.isNested("first") {
			t.Fatalf("a route that all services call counts as nested after %d requests", i+1)
		}
		routes.recordCaller("nested", []string{"a", "b"}[rnd.IntN(2)])
		if i < minSamples/2 && routes.isNested("nested") {
			t.Fatalf("%d requests are enough to decide", i+1)
		}
		if i > 2*minSamples && !routes.isNested("nested") {
			t.Fatalf("a route that one service never calls does not count as nested after %d requests", i+1)
		}
	}
	for range 4000 {
		routes.recordCaller("nested", randomCaller())
	}
	if routes.isNested("nested") {
		t.Error("still nested although all services call it now")
	}
	routes.recordCaller("x", "")
	if routes.isNested("x") || routes.isNested("unknown") {
		t.Error("nested without any data")
	}
}
