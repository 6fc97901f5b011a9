package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// failureMode is a way in which a worker fails, from second 10 to second 17 of a
// simulation.
type failureMode struct {
	name        string
	severity    float64
	maxBadRatio float64 // the most failed or late requests, relative to random picks
}

func (m failureMode) active(now time.Duration) (string, float64) {
	switch {
	case now < 10*time.Second || now > 17*time.Second:
		return "", 0
	case m.name != "flap":
		return m.name, m.severity
	case now/time.Second%2 == 0:
		return "", 0
	}
	return "down", 1
}

// TestFailingWorkersAvoided simulates services of several sizes in which a seventh
// of the workers fails, in each failure mode. Requests must avoid these workers,
// those that may not be retried most of all, and must return within the window. The
// baseline picks workers at random.
func TestFailingWorkersAvoided(t *testing.T) {
	for _, size := range []struct{ ingresses, workers, zones int }{{12, 4, 3}, {12, 12, 3}, {78, 39, 4}} {
		for _, mode := range []failureMode{{"slow", 5.4, 0.6}, {"errors", 0.44, 0.35}, {"errors", 1, 0.2}, {"shed", 0.45, 0.35}, {"hang", 0.4, 0.6}, {"flap", 1, 0.35}} {
			t.Run(fmt.Sprint(size, mode.name, mode.severity), func(t *testing.T) {
				// A single faulty worker is probed, and so readmitted, at random
				// times: its load share has a standard deviation of 0.17 in one
				// run, and less than half of that in the mean of six.
				faulty, runs := max(size.workers/7, 1), 1
				if faulty == 1 {
					runs = 6
				}
				badRatio, badOnceRatio := map[bool]float64{}, map[bool]float64{}
				for _, randomPick := range []bool{true, false} {
					duringFault, after5s, after10s := 0.0, 0.0, 0.0
					for seed := range runs {
						synctest.Test(t, func(t *testing.T) {
							sim := newSimulation(size.ingresses, size.workers, size.zones, uint64(3+seed))
							sim.randomPick, sim.repeatable = randomPick, 0.7
							isFaulty := func(worker *simWorker) bool { return worker.index < faulty }
							for _, worker := range sim.workers[:faulty] {
								worker.failure = mode.active
							}
							sim.run(10 * time.Second)
							clear(sim.counts)
							sim.run(7 * time.Second)
							sim.recordOverdue()
							badRatio[randomPick] += float64(sim.counts["bad"]) / float64(sim.counts["all"]) / float64(runs)
							badOnceRatio[randomPick] += float64(sim.counts["bad once"]) / float64(sim.counts["once"]) / float64(runs)
							sim.run(15 * time.Second)
							duringFault += sim.loadShare(12, 17, isFaulty) / float64(runs)
							after5s += sim.loadShare(22, 27, isFaulty) / float64(runs)
							after10s += sim.loadShare(27, 32, isFaulty) / float64(runs)
							if sim.registryUpdates > 16*faulty && !randomPick {
								t.Errorf("%d registry updates for %d workers", sim.registryUpdates, faulty)
							}
						})
					}
					t.Logf("random picks %v: load share %.2f during the fault, %.2f and %.2f from 5 and 10 s after it; failed or late %.4f, of those without retry %.4f",
						randomPick, duringFault, after5s, after10s, badRatio[randomPick], badOnceRatio[randomPick])
					if randomPick {
						continue
					}
					maxDuringFault, minAfter10s, minAfter5s := 0.25, 0.6, 0.2
					if faulty == 1 {
						maxDuringFault, minAfter10s = 0.2, 0.45
					}
					if duringFault > maxDuringFault || after10s < minAfter10s || after5s < minAfter5s {
						t.Error("requests do not follow the health of the workers")
					}
				}
				if badRatio[false] > mode.maxBadRatio*badRatio[true] || badOnceRatio[false] > mode.maxBadRatio*badOnceRatio[true] {
					t.Errorf("failed or late (by random picks): all %v, without retry %v", badRatio, badOnceRatio)
				}
			})
		}
	}
}

// TestAllWorkersFailing: when all workers of a service fail alike, none of them is
// avoided.
func TestAllWorkersFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(12, 12, 3, 5)
		for _, worker := range sim.workers {
			worker.failure = func(now time.Duration) (string, float64) {
				if now < 5*time.Second {
					return "", 0
				}
				return "errors", 0.5
			}
		}
		sim.run(20 * time.Second)
		for _, worker := range sim.workers {
			if share := sim.loadShare(12, 20, func(other *simWorker) bool { return other == worker }); share < 0.2 {
				t.Errorf("worker %d has %.2f of an even share", worker.index, share)
			}
		}
	})
}

// TestOwnerReportOverridesLocalSample: a few random failures that one ingress saw
// count little once the owner reports what it saw, and decay with time if nothing
// more is observed.
func TestOwnerReportOverridesLocalSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer := New("a", time.Second, window, nil)
		entries := append(threeWorkers(), entry("four", "a"))
		recordFailures := func(report WorkerReport) float64 {
			for range 8 {
				balancer.RecordOutcome(Outcome{Worker: "one", Service: "s", Route: "p", UsedSlots: -1, AboutWorker: true, Report: report})
			}
			return balancer.Weights()["one"]
		}
		balancer.Pick(entries, PickRequest{Route: "p"})
		if weight := recordFailures(WorkerReport{}); weight > 0.1 {
			t.Errorf("weight of %.2f after 8 failures in a row", weight)
		}
		if weight := recordFailures(WorkerReport{PaceEighths: 8, FailedPer64: 1}); weight < 0.9 {
			t.Errorf("weight of %.2f although the owner reports that one in 64 fails", weight)
		}
		recordFailures(WorkerReport{})
		<-time.After(window * 2)
		if weight := balancer.Weights()["one"]; weight < 0.7 {
			t.Errorf("weight of %.2f after two windows without outcomes", weight)
		}
	})
}

// TestWarmupSuspicion: a worker is at suspicion level 1 while it announces that it
// is warming up, and no longer.
func TestWarmupSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stats := NewWorkerStats(window)
		stats.SetWarmup(3 * time.Second)
		if level := stats.Suspicion(0); level != 1 {
			t.Errorf("suspicion level %d while warming up", level)
		}
		<-time.After(4 * time.Second)
		if level := stats.Suspicion(0); level != 0 {
			t.Errorf("suspicion level %d after the warm-up", level)
		}
	})
}

// TestRelapsesProlongSuspicion: a worker that is suspected repeatedly is readmitted
// more slowly each time, and one without requests is readmitted after a time.
func TestRelapsesProlongSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stats := NewWorkerStats(window)
		var durations []time.Duration
		for range 4 {
			for range 40 {
				stats.RecordRun("p", 100, 100)
			}
			stats.RecordFailures(40)
			if stats.Suspicion(0) != MaxSuspicion {
				t.Fatal("not suspected after 40 failures")
			}
			start := time.Now()
			for stats.Suspicion(0) > 0 {
				<-time.After(100 * time.Millisecond)
				stats.RecordRun("p", 100, 100)
			}
			durations = append(durations, time.Since(start))
		}
		for i := 1; i < len(durations); i++ {
			if durations[i]+window/50 < durations[i-1] {
				t.Errorf("readmitted after %v", durations)
			}
		}
		if durations[0] > window/2 || durations[3] < 2*durations[0] {
			t.Errorf("readmitted after %v", durations)
		}
		idle := NewWorkerStats(window)
		// However often it relapsed, it is tried again within one window.
		for range 4 {
			idle.RecordFailures(40)
			if idle.Suspicion(0) != MaxSuspicion {
				t.Fatal("not suspected after 40 failures")
			}
			start := time.Now()
			for idle.Suspicion(0) > 0 && time.Since(start) < 9*window {
				<-time.After(window / 100)
			}
			if duration := time.Since(start); duration > window+window/20 {
				t.Errorf("a worker without requests stays suspected for %v", duration)
			}
		}
	})
}
