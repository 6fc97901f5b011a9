package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// failureMode is one way for a worker to be ill, from 10 s to 17 s of a field.
type failureMode struct {
	name        string
	severity    float64
	maxBadRatio float64 // what the jobs that fail or are late may be, as a part of those under mere chance
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

// TestFailingWorkersAvoided plays services of several sizes with a seventh of the workers ill in
// each manner: jobs keep away, those that may not be sent again most of all, and
// come back within the window; against workers chosen by mere chance.
func TestFailingWorkersAvoided(t *testing.T) {
	for _, size := range []struct{ fronts, workers, areas int }{{12, 4, 3}, {12, 12, 3}, {78, 39, 4}} {
		for _, mode := range []failureMode{{"slow", 5.4, 0.6}, {"errors", 0.44, 0.35}, {"errors", 1, 0.2}, {"shed", 0.45, 0.35}, {"hang", 0.4, 0.6}, {"flap", 1, 0.35}} {
			t.Run(fmt.Sprint(size, mode.name, mode.severity), func(t *testing.T) {
				// One worker alone has its probes by chance, and so the time of its
				// return: a single field's part has a deviation of 0.17, the mean of
				// six less than half of that.
				faulty, runs := max(size.workers/7, 1), 1
				if faulty == 1 {
					runs = 6
				}
				badRatio, badOnceRatio := map[bool]float64{}, map[bool]float64{}
				for _, randomPick := range []bool{true, false} {
					duringFault, after5s, after10s := 0.0, 0.0, 0.0
					for seed := range runs {
						synctest.Test(t, func(t *testing.T) {
							sim := newSimulation(size.fronts, size.workers, size.areas, uint64(3+seed))
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
								t.Errorf("%d words for %d workers", sim.registryUpdates, faulty)
							}
						})
					}
					t.Logf("by chance %v: of an even part %.2f while ill, %.2f and %.2f from 5 and 10 s after; failed or late %.4f, of those sent once %.4f",
						randomPick, duringFault, after5s, after10s, badRatio[randomPick], badOnceRatio[randomPick])
					if randomPick {
						continue
					}
					maxDuringFault, minAfter10s, minAfter5s := 0.25, 0.6, 0.2
					if faulty == 1 {
						maxDuringFault, minAfter10s = 0.2, 0.45
					}
					if duringFault > maxDuringFault || after10s < minAfter10s || after5s < minAfter5s {
						t.Error("jobs do not follow the worker's fitness")
					}
				}
				if badRatio[false] > mode.maxBadRatio*badRatio[true] || badOnceRatio[false] > mode.maxBadRatio*badOnceRatio[true] {
					t.Errorf("bad %v, sent once %v", badRatio, badOnceRatio)
				}
			})
		}
	}
}

// TestAllWorkersFailing: when all workers of a service fail alike, none of them is left out,
// and nobody is told of doubts that say nothing.
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
				t.Errorf("worker %d has %.2f of an even part", worker.index, share)
			}
		}
	})
}

// TestOwnerReportOverridesLocalSample: what one front met by chance weighs little once the owner says
// what it saw, and is forgotten with time where nothing more is heard.
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
			t.Errorf("8 failures in a row leave %.2f", weight)
		}
		if weight := recordFailures(WorkerReport{Pace: 8, Fail: 1}); weight < 0.9 {
			t.Errorf("its owner says that one in 64 fails: %.2f", weight)
		}
		recordFailures(WorkerReport{})
		<-time.After(window * 2)
		if weight := balancer.Weights()["one"]; weight < 0.7 {
			t.Errorf("after two windows without a word there is %.2f", weight)
		}
	})
}

// TestWarmupSuspicion: a worker is doubted a little as long as it says that it is cold, and
// no longer.
func TestWarmupSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stats := NewWorkerStats(window)
		stats.SetWarmup(3 * time.Second)
		if level := stats.Suspicion(0); level != 1 {
			t.Errorf("doubts of %d while cold", level)
		}
		<-time.After(4 * time.Second)
		if level := stats.Suspicion(0); level != 0 {
			t.Errorf("doubts of %d when warm", level)
		}
	})
}

// TestRelapsesProlongSuspicion: a worker whose doubts come again and again is let back more slowly
// each time, and one that nobody asks is let back with time alone.
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
				t.Fatal("40 failures and no doubt")
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
				t.Errorf("let back after %v", durations)
			}
		}
		if durations[0] > window/2 || durations[3] < 2*durations[0] {
			t.Errorf("let back after %v", durations)
		}
		idle := NewWorkerStats(window)
		// However often it fell, it is asked again within a window.
		for range 4 {
			idle.RecordFailures(40)
			if idle.Suspicion(0) != MaxSuspicion {
				t.Fatal("no doubt")
			}
			start := time.Now()
			for idle.Suspicion(0) > 0 && time.Since(start) < 9*window {
				<-time.After(window / 100)
			}
			if duration := time.Since(start); duration > window+window/20 {
				t.Errorf("doubts of one that nobody asks stay for %v", duration)
			}
		}
	})
}
