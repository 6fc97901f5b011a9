package proxy

import (
	"fmt"
	"testing"
)

// TestDecisionLog checks that the newest decisions are kept up to the limit, oldest first, and
// can be filtered by request or worker.
func TestDecisionLog(t *testing.T) {
	var log decisionLog
	const total = decisionLogSize + 100
	for i := range total {
		log.nextSeq() // a worker's state changes in between
		log.add(Decision{Request: fmt.Sprint("r", i), Worker: fmt.Sprint("w", i%2), Step: stepSent})
	}
	got := log.filter("")
	if len(got) != decisionLogSize || got[0].Request != "r100" || got[decisionLogSize-1].Request != fmt.Sprint("r", total-1) {
		t.Fatalf("%d decisions from %s to %s", len(got), got[0].Request, got[len(got)-1].Request)
	}
	for i := 1; i < len(got); i++ {
		if got[i].Seq <= got[i-1].Seq {
			t.Fatalf("decision %d follows %d", got[i].Seq, got[i-1].Seq)
		}
	}
	if n := len(log.filter("w1")); n != decisionLogSize/2 {
		t.Errorf("%d decisions of a worker", n)
	}
	if n := len(log.filter("r99")) + len(log.filter("r100")); n != 1 {
		t.Errorf("%d decisions of two requests, want 1 since one was overwritten", n)
	}
}
