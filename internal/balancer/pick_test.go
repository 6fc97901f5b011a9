package balancer

import (
	"fmt"
	"testing"
	"time"

	"puffincrank/internal/ormap"
)

func entry(worker, zone string) ormap.Entry {
	return ormap.Entry{Service: "s", Worker: worker, Owner: "n-" + worker, Zone: zone, Meta: map[string]string{"slots": "8", "state": "up"}}
}

// pickMany sends requests one after the other, with a target of 100 ms, and counts
// which workers got them. Each worker has its own run time.
func pickMany(balancer *Balancer, entries []ormap.Entry, count int, bulk bool, runTimes map[string]time.Duration) map[string]int {
	counts := map[string]int{}
	for range count {
		picked, ok := balancer.Pick(entries, PickRequest{Route: "p", Target: 100 * time.Millisecond, Bulk: bulk, Repeatable: true})
		if !ok {
			break
		}
		counts[picked.Worker]++
		runTime := runTimes[picked.Worker]
		balancer.RecordOutcome(Outcome{Worker: picked.Worker, Service: "s", Route: "p", UsedSlots: -1, RoundTrip: runTime, RunTime: runTime, MissedTarget: runTime > 100*time.Millisecond, OK: runTime < time.Second, AboutWorker: true})
	}
	return counts
}

// TestSameZonePreferred: the worker of the own zone gets the requests although
// another one is faster, as long as it does not miss their target.
func TestSameZonePreferred(t *testing.T) {
	entries := []ormap.Entry{entry("near", "a"), entry("far", "b")}
	balancer := New("a", time.Second, 10*time.Second, nil)
	if counts := pickMany(balancer, entries, 400, false, map[string]time.Duration{"near": 60 * time.Millisecond, "far": 30 * time.Millisecond}); counts["far"] > 20 {
		t.Errorf("%v", counts)
	}
	balancer = New("a", time.Second, 10*time.Second, nil)
	counts := pickMany(balancer, entries, 400, false, map[string]time.Duration{"near": 160 * time.Millisecond, "far": 60 * time.Millisecond})
	if counts["far"] < 300 {
		t.Errorf("the worker in the own zone misses the target: %v", counts)
	}
	// Bulk requests stay in the zone even then: moving them costs many times as
	// much.
	balancer = New("a", time.Second, 10*time.Second, nil)
	if counts := pickMany(balancer, entries, 400, true, map[string]time.Duration{"near": 160 * time.Millisecond, "far": 60 * time.Millisecond}); counts["near"] < 350 {
		t.Errorf("bulk: %v", counts)
	}
}

// TestFastWorkerPreferred: of the workers of one zone the fastest gets most
// requests, and a failing one little more than its probes.
func TestFastWorkerPreferred(t *testing.T) {
	entries := []ormap.Entry{entry("quick", "a"), entry("slow", "a"), entry("sick", "a")}
	balancer := New("a", time.Second, 10*time.Second, nil)
	counts := pickMany(balancer, entries, 1000, false, map[string]time.Duration{"quick": 30 * time.Millisecond, "slow": 90 * time.Millisecond, "sick": 2 * time.Second})
	if counts["quick"] < 800 || counts["sick"] > 60 || counts["sick"] == 0 {
		t.Errorf("%v", counts)
	}
}

// TestInFlightRequestsCount: requests in flight count as load, so the last slots of
// the worker in the own zone stay free while there are free slots elsewhere.
func TestInFlightRequestsCount(t *testing.T) {
	entries := []ormap.Entry{entry("near", "a"), entry("far", "b")}
	balancer := New("a", time.Second, 10*time.Second, nil)
	counts := map[string]int{}
	for range 16 {
		picked, _ := balancer.Pick(entries, PickRequest{Route: "p", Target: time.Second})
		counts[picked.Worker]++
	}
	if counts["near"] < 8 || counts["far"] < 4 {
		t.Errorf("%v", counts)
	}
}

// TestIneligibleWorkersSkipped: workers that are draining or were tried are left
// out; unreachable ones are picked only if there is no other.
func TestIneligibleWorkersSkipped(t *testing.T) {
	entries := []ormap.Entry{entry("one", "a"), entry("two", "a")}
	entries[0].Meta["state"] = "draining"
	balancer := New("a", time.Second, 10*time.Second, nil)
	if _, ok := balancer.Pick(entries, PickRequest{Tried: map[string]bool{"two": true}}); ok {
		t.Error("picked a worker although none is left")
	}
	balancer.Exclude("n-two", time.Hour)
	if picked, ok := balancer.Pick(entries, PickRequest{}); !ok || picked.Worker != "two" {
		t.Errorf("%v %v: want the unreachable worker rather than none", picked.Worker, ok)
	}
	entries = append(entries, entry("three", "b"))
	for range 200 {
		if picked, _ := balancer.Pick(entries, PickRequest{}); picked.Worker != "three" {
			t.Fatalf("%s was picked", picked.Worker)
		}
	}
}

func threeWorkers() []ormap.Entry {
	return []ormap.Entry{entry("one", "a"), entry("two", "a"), entry("three", "a")}
}

// TestSamplingLargeService: in a large service every worker of the zone gets
// requests, ineligible ones never do, and a single eligible one is found.
func TestSamplingLargeService(t *testing.T) {
	var entries []ormap.Entry
	for i := range 300 {
		entries = append(entries, entry(fmt.Sprint(i), string(rune('a'+i%3))))
	}
	balancer := New("a", time.Second, 10*time.Second, nil)
	balancer.SetSessionCheck(func(node string) bool { return node != "n-3" })
	counts := map[string]int{}
	for range 6000 {
		picked, _ := balancer.Pick(entries, PickRequest{Route: "p", Target: time.Second, Tried: map[string]bool{"6": true}})
		counts[picked.Worker]++
	}
	if counts["3"]+counts["6"] > 0 {
		t.Errorf("%d requests to an unreachable worker, %d to a tried one", counts["3"], counts["6"])
	}
	if len(counts) < 98 {
		t.Errorf("only %d of 300 were picked", len(counts))
	}
	balancer.SetSessionCheck(func(node string) bool { return node == "n-299" })
	for range 50 {
		if picked, ok := balancer.Pick(entries, PickRequest{}); !ok || picked.Worker != "299" {
			t.Fatalf("%v %v", picked.Worker, ok)
		}
	}
}

// BenchmarkPick measures one pick by the number of the service's workers.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{5, 40, 300} {
		var entries []ormap.Entry
		for i := range size {
			entries = append(entries, entry(fmt.Sprint(i), string(rune('a'+i%3))))
		}
		balancer := New("a", time.Second, 10*time.Second, nil)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				picked, _ := balancer.Pick(entries, PickRequest{Route: "p", Target: time.Second})
				balancer.RecordOutcome(Outcome{Worker: picked.Worker, UsedSlots: -1})
			}
		})
	}
}
