package balancer

import (
	"fmt"
	"testing"
	"time"

	"puffincrank/internal/ormap"
)

func entry(worker, area string) ormap.Entry {
	return ormap.Entry{Service: "s", Worker: worker, Owner: "n-" + worker, Zone: area, Meta: map[string]string{"slots": "8", "state": "up"}}
}

// play sends jobs one after the other and counts who got them; each worker
// takes its own time and the job's aim is 100 ms.
func play(n *Balancer, all []ormap.Entry, jobs int, bulk bool, took map[string]time.Duration) map[string]int {
	got := map[string]int{}
	for range jobs {
		e, ok := n.Pick(all, PickRequest{Route: "p", Target: 100 * time.Millisecond, Bulk: bulk, Repeatable: true})
		if !ok {
			break
		}
		got[e.Worker]++
		t := took[e.Worker]
		n.RecordOutcome(Outcome{Worker: e.Worker, Service: "s", Route: "p", UsedSlots: -1, RoundTrip: t, RunTime: t, MissedTarget: t > 100*time.Millisecond, OK: t < time.Second, AboutWorker: true})
	}
	return got
}

// TestOwnArea: the own area's worker gets the jobs although another is quicker,
// as long as it does not miss their aim.
func TestOwnArea(t *testing.T) {
	all := []ormap.Entry{entry("near", "a"), entry("far", "b")}
	n := New("a", time.Second, 10*time.Second, nil)
	if got := play(n, all, 400, false, map[string]time.Duration{"near": 60 * time.Millisecond, "far": 30 * time.Millisecond}); got["far"] > 20 {
		t.Errorf("%v", got)
	}
	n = New("a", time.Second, 10*time.Second, nil)
	got := play(n, all, 400, false, map[string]time.Duration{"near": 160 * time.Millisecond, "far": 60 * time.Millisecond})
	if got["far"] < 300 {
		t.Errorf("the near one misses the aim: %v", got)
	}
	// What is large stays near even then: it costs many times as much to move.
	n = New("a", time.Second, 10*time.Second, nil)
	if got := play(n, all, 400, true, map[string]time.Duration{"near": 160 * time.Millisecond, "far": 60 * time.Millisecond}); got["near"] < 350 {
		t.Errorf("bulk: %v", got)
	}
}

// TestQuick: of workers of one area the quick one gets most, a failing one
// next to nothing but its probes.
func TestQuick(t *testing.T) {
	all := []ormap.Entry{entry("quick", "a"), entry("slow", "a"), entry("sick", "a")}
	n := New("a", time.Second, 10*time.Second, nil)
	got := play(n, all, 1000, false, map[string]time.Duration{"quick": 30 * time.Millisecond, "slow": 90 * time.Millisecond, "sick": 2 * time.Second})
	if got["quick"] < 800 || got["sick"] > 60 || got["sick"] == 0 {
		t.Errorf("%v", got)
	}
}

// TestFull: jobs under way count; the last slots of a near worker are left to
// those that come while others are free elsewhere.
func TestFull(t *testing.T) {
	all := []ormap.Entry{entry("near", "a"), entry("far", "b")}
	n := New("a", time.Second, 10*time.Second, nil)
	got := map[string]int{}
	for range 16 {
		e, _ := n.Pick(all, PickRequest{Route: "p", Target: time.Second})
		got[e.Worker]++
	}
	if got["near"] < 8 || got["far"] < 4 {
		t.Errorf("%v", got)
	}
}

// TestNobody: draining, tried and unknown nodes' workers are left out; those
// out of touch are asked only when there is nobody else.
func TestNobody(t *testing.T) {
	all := []ormap.Entry{entry("one", "a"), entry("two", "a")}
	all[0].Meta["state"] = "draining"
	n := New("a", time.Second, 10*time.Second, nil)
	if _, ok := n.Pick(all, PickRequest{Tried: map[string]bool{"two": true}}); ok {
		t.Error("nobody is left")
	}
	n.Exclude("n-two", time.Hour)
	if e, ok := n.Pick(all, PickRequest{}); !ok || e.Worker != "two" {
		t.Errorf("%v %v: better one out of touch than none", e.Worker, ok)
	}
	all = append(all, entry("three", "b"))
	for range 200 {
		if e, _ := n.Pick(all, PickRequest{}); e.Worker != "three" {
			t.Fatalf("%s was picked", e.Worker)
		}
	}
}

func trio() []ormap.Entry {
	return []ormap.Entry{entry("one", "a"), entry("two", "a"), entry("three", "a")}
}

// TestPlaces: of a large service each worker is drawn, those that can't be asked
// never are, and one that alone can be is found.
func TestPlaces(t *testing.T) {
	var all []ormap.Entry
	for i := range 300 {
		all = append(all, entry(fmt.Sprint(i), string(rune('a'+i%3))))
	}
	n := New("a", time.Second, 10*time.Second, nil)
	n.SetSessionCheck(func(node string) bool { return node != "n-3" })
	got := map[string]int{}
	for range 6000 {
		e, _ := n.Pick(all, PickRequest{Route: "p", Target: time.Second, Tried: map[string]bool{"6": true}})
		got[e.Worker]++
	}
	if got["3"]+got["6"] > 0 {
		t.Errorf("%d jobs to one out of touch, %d to one tried", got["3"], got["6"])
	}
	if len(got) < 98 {
		t.Errorf("only %d of 300 were drawn", len(got))
	}
	n.SetSessionCheck(func(node string) bool { return node == "n-299" })
	for range 50 {
		if e, ok := n.Pick(all, PickRequest{}); !ok || e.Worker != "299" {
			t.Fatalf("%v %v", e.Worker, ok)
		}
	}
}

// BenchmarkPick: the cost of one nomination, by the service's workers.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{5, 40, 300} {
		var all []ormap.Entry
		for i := range size {
			all = append(all, entry(fmt.Sprint(i), string(rune('a'+i%3))))
		}
		n := New("a", time.Second, 10*time.Second, nil)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				e, _ := n.Pick(all, PickRequest{Route: "p", Target: time.Second})
				n.RecordOutcome(Outcome{Worker: e.Worker, UsedSlots: -1})
			}
		})
	}
}
