package proxy

import (
	"math/rand/v2"
	"testing"
)

// TestKin: a path that the jobs of two services call is told from one that
// callers from outside use at all nodes; a change shows; few jobs say nothing.
func TestKin(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 6))
	all := []string{"a", "a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c"}
	any := func() string { return all[rnd.IntN(len(all))] }
	k := newNestedRoutes()
	for i := range 4000 {
		k.recordCaller("first", any())
		if k.isNested("first") {
			t.Fatalf("a path that all call is from within, after %d jobs", i+1)
		}
		k.recordCaller("nested", []string{"a", "b"}[rnd.IntN(2)])
		if i < minSamples/2 && k.isNested("nested") {
			t.Fatalf("%d jobs are enough to tell", i+1)
		}
		if i > 2*minSamples && !k.isNested("nested") {
			t.Fatalf("a path that one service never calls is not from within, after %d jobs", i+1)
		}
	}
	for range 4000 {
		k.recordCaller("nested", any())
	}
	if k.isNested("nested") {
		t.Error("all call it by now")
	}
	k.recordCaller("x", "")
	if k.isNested("x") || k.isNested("unknown") {
		t.Error("nothing is known of it")
	}
}
