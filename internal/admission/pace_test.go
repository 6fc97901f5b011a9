package admission

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// crowd is one class of a played load.
type crowd struct {
	class string
	rate  float64 // jobs a second
	wait  time.Duration
	took  func(*rand.Rand) time.Duration
}

// tally is what became of a crowd.
type tally struct {
	in, full, late int
	busy           time.Duration
	guess, real    time.Duration // of those who waited and got in
	waited         int
}

// play lets crowds press on a room for a time.
func play(t *testing.T, r *Controller, long time.Duration, all []crowd) map[string]*tally {
	out := map[string]*tally{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range all {
		out[c.class] = &tally{}
	}
	for i, c := range all {
		wg.Go(func() {
			g := rand.New(rand.NewPCG(uint64(i), 7))
			for end := time.Now().Add(long); time.Now().Before(end); {
				task.Sleep(t.Context(), time.Duration(g.ExpFloat64()/c.rate*float64(time.Second)))
				took := c.took(g)
				wg.Go(func() {
					a := Request{Class: c.class, MaxWait: c.wait}
					guess, from := r.EstimateWait(c.class), time.Now()
					why := r.Acquire(t.Context(), a)
					real := time.Since(from)
					mu.Lock()
					o := out[c.class]
					switch why {
					case Admitted:
						o.in++
						o.busy += took
						if real > 0 {
							o.guess, o.real, o.waited = o.guess+guess, o.real+real, o.waited+1
						}
					case QueueFull:
						o.full++
					default:
						o.late++
					}
					mu.Unlock()
					if why == Admitted {
						task.Sleep(t.Context(), took)
						r.Release(a, took)
					}
				})
			}
		})
	}
	wg.Wait()
	return out
}

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// mixed is nine short jobs for each long one.
func mixed(short, long time.Duration) func(*rand.Rand) time.Duration {
	return func(g *rand.Rand) time.Duration {
		if g.IntN(10) == 0 {
			return long
		}
		return time.Duration(g.ExpFloat64() * float64(short))
	}
}

// TestHope: with classes of very different work and more jobs than the slots
// can do, who is turned away is mostly told so at once, the slots stay in use,
// and the guesses are about right.
func TestHope(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		slots int
		late  float64 // the most of the refusals that may come late
		all   []crowd
	}{
		{"alike", 18, 0.01, []crowd{{"a", 700, 125 * ms, fixed(50 * ms)}}},
		{"short and long", 18, 0.2, []crowd{{"a", 600, 60 * ms, fixed(20 * ms)}, {"b", 60, 500 * ms, mixed(100*ms, time.Second)}}},
		{"one pressed, one not", 18, 0.05, []crowd{{"a", 100, 60 * ms, fixed(20 * ms)}, {"b", 120, 400 * ms, mixed(100*ms, time.Second)}}},
		{"few slots", 3, 0.1, []crowd{{"a", 60, 100 * ms, fixed(40 * ms)}, {"b", 30, 300 * ms, mixed(60*ms, 300*ms)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New()
				r.Configure(c.slots, map[string]float64{"a": 200.0 / 3, "b": 100.0 / 3}, 2*c.slots)
				got := play(t, r, time.Minute, c.all)
				busy, late, full := time.Duration(0), 0, 0
				for _, k := range c.all {
					o := got[k.class]
					busy, late, full = busy+o.busy, late+o.late, full+o.full
					n := time.Duration(max(o.waited, 1))
					t.Logf("%s: in %d, told at once %d, late %d; of %d who waited: guessed %v, was %v", k.class, o.in, o.full, o.late, o.waited, (o.guess / n).Round(ms), (o.real / n).Round(ms))
					if ratio := float64(o.guess) / float64(o.real); ratio < 0.7 || ratio > 1.8 {
						t.Errorf("%s: the guess is %.2f times the wait", k.class, ratio)
					}
				}
				use := busy.Seconds() / 60 / float64(c.slots)
				part := float64(late) / float64(late+full)
				t.Logf("slots in use %.3f, late of the refusals %.3f", use, part)
				if use < 0.97 || part > c.late {
					t.Error("slots stand idle, or refusals come late")
				}
			})
		})
	}
}

// TestStandstill: when the jobs inside come to no end, the guess grows with
// their ages, and it falls again with the first short ones.
func TestStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(4, map[string]float64{"a": 100}, 100)
		a := Request{Class: "a", MaxWait: time.Second}
		for range 200 {
			r.Acquire(t.Context(), a)
			task.Sleep(t.Context(), 10*time.Millisecond)
			r.Release(a, 10*time.Millisecond)
		}
		for range 4 {
			r.Acquire(t.Context(), a)
		}
		if h := r.EstimateWait("a"); h > 10*time.Millisecond {
			t.Fatalf("usual pace, yet a wait of %v is guessed", h)
		}
		task.Sleep(t.Context(), 20*time.Second)
		h := r.EstimateWait("a")
		if h < 400*time.Millisecond {
			t.Fatalf("nothing ended for 20 s, yet a wait of %v is guessed", h)
		}
		for range 4 {
			r.Release(a, 20*time.Second)
		}
		for range 200 {
			r.Acquire(t.Context(), a)
			task.Sleep(t.Context(), 10*time.Millisecond)
			r.Release(a, 10*time.Millisecond)
		}
		for range 4 {
			r.Acquire(t.Context(), a)
		}
		if h := r.EstimateWait("a"); h > 50*time.Millisecond {
			t.Errorf("the pace is back, yet a wait of %v is guessed", h)
		}
	})
}

// TestDrainSpreads: a crowd that is turned away is not told the same time, but
// on the whole when the queue has drained.
func TestDrainSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(1, map[string]float64{"a": 100}, 100)
		a := Request{Class: "a", MaxWait: time.Second}
		r.Acquire(t.Context(), a)
		task.Sleep(t.Context(), time.Second)
		r.Release(a, time.Second)
		r.Acquire(t.Context(), a)
		low, high, sum := time.Hour, time.Duration(0), time.Duration(0)
		for range 500 {
			d := r.EstimateDrain("a")
			low, high, sum = min(low, d), max(high, d), sum+d
		}
		const ms = time.Millisecond
		if low < 750*ms || low > 800*ms || high > 1250*ms || high < 1200*ms || sum < 480*time.Second || sum > 520*time.Second {
			t.Errorf("a queue that drains in 1 s: told from %v to %v, in the mean %v", low, high, sum/500)
		}
	})
}
