package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestStopWithUnsentRequestBodies: a node is told to end while its callers' large bodies
// wait for a thin link, each with more time than the node has. Every one is
// answered before it goes: whole, or certain not to have run and with a time to
// come back; none is cut off.
func TestStopWithUnsentRequestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := thinShape(false)
		s.Doc = strings.Replace(s.Doc, `"left_ms":6000,"aim_ms":3000,"repeat":"upload"`, `"left_ms":30000,"aim_ms":24000,"repeat":"upload"`, 1)
		f := thinFleetOf(t, s, narrow(megabit/8))
		defer f.Stop()
		ingress, callers := f.Nodes[0], f.ownCallers()
		line := standin.Line{Method: "POST", URI: "/scans", Service: "scans", Size: size, Want: 1, Left: "30000"}
		const jobs = 6
		results := make(chan standin.Call, jobs)
		for range jobs {
			f.g.Go("ask", func(context.Context) { results <- callers.At(ingress.Host+":8000", line) })
		}
		Wait(300 * time.Millisecond)
		ingress.Proxy.Stop()
		counts := collectStatuses(t, results, jobs)
		if counts[503] == 0 {
			t.Errorf("nothing had to wait: %v", counts)
		}
		t.Logf("ended as %v", counts)
	})
}

// TestStopWithUnsentResponses: a node is told to end while large answers to its callers
// wait for a thin link on their way to it. What was let in is there before it
// goes; what would not be was never run, and is told when to come back.
func TestStopWithUnsentResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := thinShape(false)
		s.Doc = strings.Replace(s.Doc, `"left_ms":6000,"aim_ms":3000,"repeat":"download"`, `"left_ms":30000,"aim_ms":24000,"repeat":"download"`, 1)
		f := thinFleetOf(t, s, narrow(megabit/4))
		defer f.Stop()
		ingress, callers := f.Nodes[0], f.ownCallers()
		line := standin.Line{Method: "GET", URI: "/files/7", Service: "scans", Safe: true, Want: size, Left: "30000"}
		// The owners learn how large the answers are, and how fast they go.
		for range 6 {
			callers.At(ingress.Host+":8000", line)
		}
		const jobs = 16
		results := make(chan standin.Call, jobs)
		for range jobs {
			f.g.Go("ask", func(context.Context) { results <- callers.At(ingress.Host+":8000", line) })
			Wait(100 * time.Millisecond)
		}
		Wait(300 * time.Millisecond)
		ingress.Proxy.Stop()
		counts := collectStatuses(t, results, jobs)
		if counts[503] == 0 || counts[200] == 0 {
			t.Errorf("ended as %v", counts)
		}
		t.Logf("ended as %v", counts)
	})
}

// ownCallers are callers at the first node alone.
func (f *Fleet) ownCallers() *standin.Callers {
	f.Net.Place("10.0.9.3", "outside")
	return standin.NewCallers(f.env("own", "10.0.9.3", "outside", &f.Nodes[0].skew), nil, f.Obs, 40*time.Second)
}

// collectStatuses waits for so many calls: each is done, or busy with a time to come
// back. It counts them by their status.
func collectStatuses(t *testing.T, calls chan standin.Call, count int) map[int]int {
	counts := map[int]int{}
	for range count {
		c := <-calls
		counts[c.Status]++
		if c.Status != 200 && (c.Status != 503 || c.Retry == "") {
			t.Errorf("answered %d, retry %q: %s", c.Status, c.Retry, c.Body)
		}
	}
	return counts
}
