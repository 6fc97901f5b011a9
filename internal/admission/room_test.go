package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestFloors: whole slots add up, no positive share starves, and no class is
// more than one slot off its exact share unless it had to give one up.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(3, 40).Draw(t, "slots")
		n := rapid.IntRange(1, 4).Draw(t, "classes")
		left := 100
		shares := map[string]float64{}
		for i := range n {
			s := left
			if i < n-1 {
				s = rapid.IntRange(0, left).Draw(t, "share")
			}
			shares[fmt.Sprint("c", i)] = float64(s)
			left -= s
		}
		got := Floors(slots, shares)
		sum, positive := 0, 0
		for c, s := range shares {
			sum += got[c]
			if s > 0 {
				positive++
			}
			if s == 0 && got[c] != 0 {
				t.Fatalf("class without a share has %d", got[c])
			}
		}
		if sum != slots {
			t.Fatalf("floors %v add up to %d of %d", got, sum, slots)
		}
		for c, s := range shares {
			if s > 0 && got[c] == 0 && slots >= positive {
				t.Fatalf("class %s of share %v starves: %v", c, s, got)
			}
		}
	})
}

// TestModel plays a room against a plain model of its rule: whoever waits gets
// a freed slot by least used ÷ share, and no slot is idle while anyone waits.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			shares := map[string]float64{"a": 50, "b": 30, "c": 20}
			slots := rapid.IntRange(3, 18).Draw(rt, "slots")
			floor := Floors(slots, shares)
			r := New()
			r.Configure(slots, shares, 1000)
			used, wait, total := map[string]int{}, map[string]int{}, 0
			ctx, stop := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer stop()
			ins := make(chan string, 1000)
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				c := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "class")
				if rapid.Bool().Draw(rt, "enter") {
					go func() {
						if r.Acquire(ctx, Request{Class: c, MaxWait: time.Hour}) == Admitted {
							ins <- c
						}
					}()
					if total < slots {
						used[c]++
						total++
					} else {
						wait[c]++
					}
				} else if used[c] > 0 {
					r.Release(Request{Class: c}, 0)
					used[c]--
					total--
					best := ""
					for _, k := range []string{"a", "b", "c"} {
						if wait[k] > 0 && (best == "" || used[k]*floor[best] < used[best]*floor[k]) {
							best = k
						}
					}
					if best != "" {
						wait[best]--
						used[best]++
						total++
					}
				}
				synctest.Wait()
				for k, u := range r.Usage() {
					if u.Used != used[k] || u.Waiting != wait[k] {
						rt.Fatalf("class %s has %d used and %d waiting, the model %d and %d", k, u.Used, u.Waiting, used[k], wait[k])
					}
				}
			}
		})
	})
}

// TestBorrowed: an idle share is lent whole, and a pressed class has its share
// back after as many ends of jobs as it lacks slots. No running job is cut.
func TestBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(12, map[string]float64{"reading": 50, "desk": 30, "upload": 20}, 100)
		for range 12 {
			if why := r.Acquire(t.Context(), Request{Class: "reading", MaxWait: time.Second}); why != Admitted {
				t.Fatalf("an idle share was not lent: %s", why)
			}
		}
		need := r.Usage()["desk"].Share
		var in int
		done := make(chan string, 100)
		for range need {
			go func() { done <- r.Acquire(t.Context(), Request{Class: "desk", MaxWait: time.Minute}) }()
		}
		for range 20 {
			go func() { done <- r.Acquire(t.Context(), Request{Class: "reading", MaxWait: time.Minute}) }()
		}
		synctest.Wait()
		freed := 0
		for in < need {
			r.Release(Request{Class: "reading"}, time.Millisecond)
			freed++
			synctest.Wait()
			in = r.Usage()["desk"].Used
		}
		if freed != need {
			t.Errorf("%d slots were freed until the pressed class had its %d", freed, need)
		}
		r.Close()
		for range need + 20 {
			<-done
		}
	})
}

// TestFullIsToldAtOnce: a job without hope is refused now, not near its end.
func TestFullIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(1, map[string]float64{"a": 100}, 1)
		r.Acquire(t.Context(), Request{Class: "a", MaxWait: time.Second})
		go r.Acquire(t.Context(), Request{Class: "a", MaxWait: time.Minute})
		synctest.Wait()
		from := time.Now()
		if why := r.Acquire(t.Context(), Request{Class: "a", MaxWait: time.Minute}); why != QueueFull || time.Since(from) != 0 {
			t.Errorf("got %q after %v", why, time.Since(from))
		}
		if why := r.Acquire(t.Context(), Request{Class: "nobody", MaxWait: time.Minute}); why != UnknownClass {
			t.Errorf("unknown class got %q", why)
		}
		r.Release(Request{Class: "a"}, 0)
		synctest.Wait()
	})
}
