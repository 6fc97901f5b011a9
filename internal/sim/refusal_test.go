package sim

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// processorTime returns the CPU time that this process has used so far.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestRefusalCost compares the CPU time of a refused request with that of a
// served one. Both include the work of callers, nodes and workers: a refused
// request is offered to several owners and runs nowhere. The test isn't
// parallel, because the CPU time is measured for the whole process.
func TestRefusalCost(t *testing.T) {
	if testing.Short() {
		t.Skip("runs only without the race detector")
	}
	measure := func(saturated bool) (each time.Duration, servedCodes map[int]int) {
		synctest.Test(t, func(t *testing.T) {
			s := singleServiceShape()
			s.Slots = 2
			s.ServiceTimes["s"] = time.Millisecond
			s.Config = strings.ReplaceAll(s.Config, `"left_ms":600,"aim_ms":600`, `"left_ms":60000,"aim_ms":600`)
			f := NewFleet(t, s, 440)
			defer f.Stop()
			f.Start()
			callers := standin.NewCallers(f.env("own", "10.0.9.3", "outside", &f.Nodes[0].skew), nil, f.Observer, time.Minute)
			line := standin.CallKind{Method: "GET", URI: "/a", Service: "s"}
			if saturated {
				for _, n := range f.Nodes {
					n.Worker.SetBehavior(standin.WorkerBehavior{Took: 55 * time.Second})
				}
				for range 12 {
					f.g.Go("fill", func(context.Context) { callers.CallAt(f.Nodes[0].Host+":8000", line) })
				}
				Wait(2 * time.Second)
			}
			const n = 1500
			servedCodes = map[int]int{}
			start := processorTime(t)
			for range n {
				servedCodes[callers.CallAt(f.Nodes[0].Host+":8000", line).Status]++
			}
			each = (processorTime(t) - start) / n
		})
		return each, servedCodes
	}
	servedCost, servedCodes := measure(false)
	refusedCost, refusedCodes := measure(true)
	t.Logf("served %v each (%v), refused %v each (%v): %.2f of it", servedCost, servedCodes, refusedCost, refusedCodes, float64(refusedCost)/float64(servedCost))
	if servedCodes[200] < 1450 || refusedCodes[503] < 1450 {
		t.Fatalf("status counts don't match the measured cases: %v and %v", servedCodes, refusedCodes)
	}
	// A refused request is offered to each of the three owners, so it may cost three times as much.
	if float64(refusedCost) > 3*float64(servedCost) {
		t.Errorf("a refusal costs %.2f times the CPU time of a served request", float64(refusedCost)/float64(servedCost))
	}
}
