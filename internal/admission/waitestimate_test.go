package admission

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// loadProfile is the load of one class.
type loadProfile struct {
	class   string
	rate    float64 // requests per second
	maxWait time.Duration
	runTime func(*rand.Rand) time.Duration
}

// tally counts the outcomes of one class.
type tally struct {
	admitted, queueFull, timedOut int
	busyTime                      time.Duration
	estimated, actual             time.Duration // of requests that were admitted after a wait
	waited                        int
}

// applyLoad sends the load of the profiles to a controller for a time.
func applyLoad(t *testing.T, controller *Controller, duration time.Duration, profiles []loadProfile) map[string]*tally {
	tallies := map[string]*tally{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, profile := range profiles {
		tallies[profile.class] = &tally{}
	}
	for i, profile := range profiles {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 7))
			for end := time.Now().Add(duration); time.Now().Before(end); {
				task.Sleep(t.Context(), time.Duration(random.ExpFloat64()/profile.rate*float64(time.Second)))
				runTime := profile.runTime(random)
				group.Go(func() {
					request := Request{Class: profile.class, MaxWait: profile.maxWait}
					estimate, start := controller.EstimateWait(profile.class), time.Now()
					outcome := controller.Acquire(t.Context(), request)
					actual := time.Since(start)
					mu.Lock()
					counts := tallies[profile.class]
					switch outcome {
					case Admitted:
						counts.admitted++
						counts.busyTime += runTime
						if actual > 0 {
							counts.estimated, counts.actual, counts.waited = counts.estimated+estimate, counts.actual+actual, counts.waited+1
						}
					case QueueFull:
						counts.queueFull++
					default:
						counts.timedOut++
					}
					mu.Unlock()
					if outcome == Admitted {
						task.Sleep(t.Context(), runTime)
						controller.Release(request, runTime)
					}
				})
			}
		})
	}
	group.Wait()
	return tallies
}

func constantRunTime(runTime time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return runTime }
}

// mixedRunTime draws nine short requests for each long one.
func mixedRunTime(short, long time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		if random.IntN(10) == 0 {
			return long
		}
		return time.Duration(random.ExpFloat64() * float64(short))
	}
}

// TestWaitEstimates: with classes of very different run times and more requests
// than the slots can serve, most refusals come at once, the slots stay busy, and
// the estimated waits are about right.
func TestWaitEstimates(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name         string
		slots        int
		maxLateShare float64 // largest fraction of the refusals that may come late
		profiles     []loadProfile
	}{
		{"alike", 18, 0.01, []loadProfile{{"a", 700, 125 * ms, constantRunTime(50 * ms)}}},
		{"short and long", 18, 0.2, []loadProfile{{"a", 600, 60 * ms, constantRunTime(20 * ms)}, {"b", 60, 500 * ms, mixedRunTime(100*ms, time.Second)}}},
		{"one saturated, one not", 18, 0.05, []loadProfile{{"a", 100, 60 * ms, constantRunTime(20 * ms)}, {"b", 120, 400 * ms, mixedRunTime(100*ms, time.Second)}}},
		{"few slots", 3, 0.1, []loadProfile{{"a", 60, 100 * ms, constantRunTime(40 * ms)}, {"b", 30, 300 * ms, mixedRunTime(60*ms, 300*ms)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := New()
				controller.Configure(c.slots, map[string]float64{"a": 200.0 / 3, "b": 100.0 / 3}, 2*c.slots)
				tallies := applyLoad(t, controller, time.Minute, c.profiles)
				busy, late, atOnce := time.Duration(0), 0, 0
				for _, profile := range c.profiles {
					counts := tallies[profile.class]
					busy, late, atOnce = busy+counts.busyTime, late+counts.timedOut, atOnce+counts.queueFull
					waited := time.Duration(max(counts.waited, 1))
					t.Logf("%s: admitted %d, refused at once %d, refused late %d; mean of %d that waited: estimated %v, actual %v", profile.class, counts.admitted, counts.queueFull, counts.timedOut, counts.waited, (counts.estimated / waited).Round(ms), (counts.actual / waited).Round(ms))
					if ratio := float64(counts.estimated) / float64(counts.actual); ratio < 0.7 || ratio > 1.8 {
						t.Errorf("%s: the estimate is %.2f times the actual wait", profile.class, ratio)
					}
				}
				utilization := busy.Seconds() / 60 / float64(c.slots)
				lateShare := float64(late) / float64(late+atOnce)
				t.Logf("slots in use %.3f, late refusals %.3f", utilization, lateShare)
				if utilization < 0.97 || lateShare > c.maxLateShare {
					t.Error("slots are idle, or refusals come late")
				}
			})
		})
	}
}

// TestEstimateGrowsWhileRequestsHang: when running requests do not end, the
// estimated wait grows with their age, and it falls again with the first short
// ones.
func TestEstimateGrowsWhileRequestsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(4, map[string]float64{"a": 100}, 100)
		request := Request{Class: "a", MaxWait: time.Second}
		for range 200 {
			controller.Acquire(t.Context(), request)
			task.Sleep(t.Context(), 10*time.Millisecond)
			controller.Release(request, 10*time.Millisecond)
		}
		for range 4 {
			controller.Acquire(t.Context(), request)
		}
		if estimate := controller.EstimateWait("a"); estimate > 10*time.Millisecond {
			t.Fatalf("estimated wait of %v at the usual run times", estimate)
		}
		task.Sleep(t.Context(), 20*time.Second)
		estimate := controller.EstimateWait("a")
		if estimate < 400*time.Millisecond {
			t.Fatalf("estimated wait of only %v although no request ended for 20 s", estimate)
		}
		for range 4 {
			controller.Release(request, 20*time.Second)
		}
		for range 200 {
			controller.Acquire(t.Context(), request)
			task.Sleep(t.Context(), 10*time.Millisecond)
			controller.Release(request, 10*time.Millisecond)
		}
		for range 4 {
			controller.Acquire(t.Context(), request)
		}
		if estimate := controller.EstimateWait("a"); estimate > 50*time.Millisecond {
			t.Errorf("estimated wait of %v after the run times returned to normal", estimate)
		}
	})
}

// TestDrainEstimatesSpread: requests that are refused together get different retry
// times, whose mean is the time when the queue has drained.
func TestDrainEstimatesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(1, map[string]float64{"a": 100}, 100)
		request := Request{Class: "a", MaxWait: time.Second}
		controller.Acquire(t.Context(), request)
		task.Sleep(t.Context(), time.Second)
		controller.Release(request, time.Second)
		controller.Acquire(t.Context(), request)
		low, high, sum := time.Hour, time.Duration(0), time.Duration(0)
		for range 500 {
			estimate := controller.EstimateDrain("a")
			low, high, sum = min(low, estimate), max(high, estimate), sum+estimate
		}
		const ms = time.Millisecond
		if low < 750*ms || low > 800*ms || high > 1250*ms || high < 1200*ms || sum < 480*time.Second || sum > 520*time.Second {
			t.Errorf("estimates for a queue that drains in 1 s: from %v to %v, mean %v", low, high, sum/500)
		}
	})
}
