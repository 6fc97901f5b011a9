package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestGuaranteedSlots: whole slots add up, no positive share starves, and no class is
// more than one slot off its exact share unless it had to give one up.
func TestGuaranteedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(3, 40).Draw(t, "slots")
		classes := rapid.IntRange(1, 4).Draw(t, "classes")
		remaining := 100
		shares := map[string]float64{}
		for i := range classes {
			share := remaining
			if i < classes-1 {
				share = rapid.IntRange(0, remaining).Draw(t, "share")
			}
			shares[fmt.Sprint("c", i)] = float64(share)
			remaining -= share
		}
		guaranteed := GuaranteedSlots(slots, shares)
		sum, positive := 0, 0
		for c, share := range shares {
			sum += guaranteed[c]
			if share > 0 {
				positive++
			}
			if share == 0 && guaranteed[c] != 0 {
				t.Fatalf("class without a share has %d", guaranteed[c])
			}
		}
		if sum != slots {
			t.Fatalf("floors %v add up to %d of %d", guaranteed, sum, slots)
		}
		for c, share := range shares {
			if share > 0 && guaranteed[c] == 0 && slots >= positive {
				t.Fatalf("class %s of share %v starves: %v", c, share, guaranteed)
			}
		}
	})
}

// TestControllerAgainstModel plays a room against a plain model of its rule: whoever waits gets
// a freed slot by least used ÷ share, and no slot is idle while anyone waits.
func TestControllerAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			shares := map[string]float64{"a": 50, "b": 30, "c": 20}
			slots := rapid.IntRange(3, 18).Draw(rt, "slots")
			guaranteed := GuaranteedSlots(slots, shares)
			controller := New()
			controller.Configure(slots, shares, 1000)
			used, waiting, inUse := map[string]int{}, map[string]int{}, 0
			ctx, stop := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer stop()
			admitted := make(chan string, 1000)
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "class")
				if rapid.Bool().Draw(rt, "enter") {
					go func() {
						if controller.Acquire(ctx, Request{Class: class, MaxWait: time.Hour}) == Admitted {
							admitted <- class
						}
					}()
					if inUse < slots {
						used[class]++
						inUse++
					} else {
						waiting[class]++
					}
				} else if used[class] > 0 {
					controller.Release(Request{Class: class}, 0)
					used[class]--
					inUse--
					best := ""
					for _, k := range []string{"a", "b", "c"} {
						if waiting[k] > 0 && (best == "" || used[k]*guaranteed[best] < used[best]*guaranteed[k]) {
							best = k
						}
					}
					if best != "" {
						waiting[best]--
						used[best]++
						inUse++
					}
				}
				synctest.Wait()
				for k, u := range controller.Usage() {
					if u.Used != used[k] || u.Waiting != waiting[k] {
						rt.Fatalf("class %s has %d used and %d waiting, the model %d and %d", k, u.Used, u.Waiting, used[k], waiting[k])
					}
				}
			}
		})
	})
}

// TestBorrowedSlotsReturned: an idle share is lent whole, and a pressed class has its share
// back after as many ends of jobs as it lacks slots. No running job is cut.
func TestBorrowedSlotsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(12, map[string]float64{"reading": 50, "desk": 30, "upload": 20}, 100)
		for range 12 {
			if outcome := controller.Acquire(t.Context(), Request{Class: "reading", MaxWait: time.Second}); outcome != Admitted {
				t.Fatalf("an idle share was not lent: %s", outcome)
			}
		}
		guaranteed := controller.Usage()["desk"].Share
		var regained int
		done := make(chan string, 100)
		for range guaranteed {
			go func() { done <- controller.Acquire(t.Context(), Request{Class: "desk", MaxWait: time.Minute}) }()
		}
		for range 20 {
			go func() { done <- controller.Acquire(t.Context(), Request{Class: "reading", MaxWait: time.Minute}) }()
		}
		synctest.Wait()
		freed := 0
		for regained < guaranteed {
			controller.Release(Request{Class: "reading"}, time.Millisecond)
			freed++
			synctest.Wait()
			regained = controller.Usage()["desk"].Used
		}
		if freed != guaranteed {
			t.Errorf("%d slots were freed until the pressed class had its %d", freed, guaranteed)
		}
		controller.Close()
		for range guaranteed + 20 {
			<-done
		}
	})
}

// TestFullQueueRefusesAtOnce: a job without hope is refused now, not near its end.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(1, map[string]float64{"a": 100}, 1)
		controller.Acquire(t.Context(), Request{Class: "a", MaxWait: time.Second})
		go controller.Acquire(t.Context(), Request{Class: "a", MaxWait: time.Minute})
		synctest.Wait()
		start := time.Now()
		if outcome := controller.Acquire(t.Context(), Request{Class: "a", MaxWait: time.Minute}); outcome != QueueFull || time.Since(start) != 0 {
			t.Errorf("got %q after %v", outcome, time.Since(start))
		}
		if outcome := controller.Acquire(t.Context(), Request{Class: "nobody", MaxWait: time.Minute}); outcome != UnknownClass {
			t.Errorf("unknown class got %q", outcome)
		}
		controller.Release(Request{Class: "a"}, 0)
		synctest.Wait()
	})
}
