package retrybudget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestSum: whatever the fronts try, the mesh-wide sum stays within the bound
// at every repeat, also when fronts lose sight of each other; at a high rate,
// where the ratio counts, and at a low one, where the allowance does.
func TestSum(t *testing.T) {
	t.Run("high", func(t *testing.T) { sum(t, 4, 20000) })
	t.Run("low", func(t *testing.T) { sum(t, 600, 4000) })
}

func sum(t *testing.T, gap, rounds int) {
	synctest.Test(t, func(t *testing.T) {
		const fronts, allow = 12, 10
		var all []*Budget
		for range fronts {
			b := New(10 * time.Second)
			b.SetLimits(0.2, allow)
			b.SetProxyCount(fronts)
			all = append(all, b)
		}
		all[3].SetProxyCount(1) // a cut: it sees nobody else
		rnd := rand.New(rand.NewPCG(3, 4))
		var one, two []time.Time
		given, asked := 0, 0
		for range rounds {
			<-time.After(time.Duration(rnd.IntN(gap)) * time.Millisecond)
			b := all[rnd.IntN(fronts)]
			b.RecordFirst("s")
			one = append(one, time.Now())
			if rnd.IntN(2) == 0 {
				asked++
				if b.Allow("s") {
					given++
					now := time.Now()
					two = append(two, now)
					n, f := 0, 0
					for i := len(two) - 1; i >= 0 && now.Sub(two[i]) < 10*time.Second; i-- {
						n++
					}
					for i := len(one) - 1; i >= 0 && now.Sub(one[i]) < 10*time.Second; i-- {
						f++
					}
					if float64(n) > 0.2*float64(f)+allow {
						t.Fatalf("%d repeats to %d first sends", n, f)
					}
				}
			}
		}
		if given == 0 || given == asked {
			t.Fatalf("%d of %d were given: the test shows nothing", given, asked)
		}
	})
}

// TestNoPartBeforeTheFirstWord: a front that just started has no part of the
// allowance until it knows how many share it and a window has passed, since
// its earlier start may have used its part.
func TestNoPartBeforeTheFirstWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10 * time.Second)
		b.SetLimits(0.2, 10)
		b.RecordFirst("s")
		if b.Allow("s") {
			t.Fatal("a repeat was given without knowing the others")
		}
		b.SetProxyCount(10)
		if b.Allow("s") {
			t.Fatal("the part was given again within the window of a restart")
		}
		<-time.After(10 * time.Second)
		if !b.Allow("s") {
			t.Fatal("the part of the allowance was not given")
		}
	})
}
