package admission

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// loadProfile is one class of a played load.
type loadProfile struct {
	class   string
	rate    float64 // jobs a second
	maxWait time.Duration
	runTime func(*rand.Rand) time.Duration
}

// tally is what became of a crowd.
type tally struct {
	admitted, queueFull, timedOut int
	busyTime                      time.Duration
	estimated, actual             time.Duration // of those who waited and got in
	waited                        int
}

// applyLoad lets crowds press on a room for a time.
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

// mixedRunTime is nine short jobs for each long one.
func mixedRunTime(short, long time.Duration) func(*rand.Rand) time.Duration {
	return func(g *rand.Rand) time.Duration {
		if g.IntN(10) == 0 {
			return long
		}
		return time.Duration(g.ExpFloat64() * float64(short))
	}
}

// TestWaitEstimates: with classes of very different work and more jobs than the slots
// can do, who is turned away is mostly told so at once, the slots stay in use,
// and the guesses are about right.
func TestWaitEstimates(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		slots int
		late  float64 // the most of the refusals that may come late
		all   []loadProfile
	}{
		{"alike", 18, 0.01, []loadProfile{{"a", 700, 125 * ms, constantRunTime(50 * ms)}}},
		{"short and long", 18, 0.2, []loadProfile{{"a", 600, 60 * ms, constantRunTime(20 * ms)}, {"b", 60, 500 * ms, mixedRunTime(100*ms, time.Second)}}},
		{"one pressed, one not", 18, 0.05, []loadProfile{{"a", 100, 60 * ms, constantRunTime(20 * ms)}, {"b", 120, 400 * ms, mixedRunTime(100*ms, time.Second)}}},
		{"few slots", 3, 0.1, []loadProfile{{"a", 60, 100 * ms, constantRunTime(40 * ms)}, {"b", 30, 300 * ms, mixedRunTime(60*ms, 300*ms)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := New()
				controller.Configure(c.slots, map[string]float64{"a": 200.0 / 3, "b": 100.0 / 3}, 2*c.slots)
				tallies := applyLoad(t, controller, time.Minute, c.all)
				busy, late, atOnce := time.Duration(0), 0, 0
				for _, profile := range c.all {
					counts := tallies[profile.class]
					busy, late, atOnce = busy+counts.busyTime, late+counts.timedOut, atOnce+counts.queueFull
					waited := time.Duration(max(counts.waited, 1))
					t.Logf("%s: in %d, told at once %d, late %d; of %d who waited: guessed %v, was %v", profile.class, counts.admitted, counts.queueFull, counts.timedOut, counts.waited, (counts.estimated / waited).Round(ms), (counts.actual / waited).Round(ms))
					if ratio := float64(counts.estimated) / float64(counts.actual); ratio < 0.7 || ratio > 1.8 {
						t.Errorf("%s: the guess is %.2f times the wait", profile.class, ratio)
					}
				}
				utilization := busy.Seconds() / 60 / float64(c.slots)
				lateShare := float64(late) / float64(late+atOnce)
				t.Logf("slots in use %.3f, late of the refusals %.3f", utilization, lateShare)
				if utilization < 0.97 || lateShare > c.late {
					t.Error("slots stand idle, or refusals come late")
				}
			})
		})
	}
}

// TestEstimateGrowsWhileRequestsHang: when the jobs inside come to no end, the guess grows with
// their ages, and it falls again with the first short ones.
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
			t.Fatalf("usual pace, yet a wait of %v is guessed", estimate)
		}
		task.Sleep(t.Context(), 20*time.Second)
		estimate := controller.EstimateWait("a")
		if estimate < 400*time.Millisecond {
			t.Fatalf("nothing ended for 20 s, yet a wait of %v is guessed", estimate)
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
			t.Errorf("the pace is back, yet a wait of %v is guessed", estimate)
		}
	})
}

// TestDrainEstimatesSpread: a crowd that is turned away is not told the same time, but
// on the whole when the queue has drained.
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
			t.Errorf("a queue that drains in 1 s: told from %v to %v, in the mean %v", low, high, sum/500)
		}
	})
}
