package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestGuaranteedSlots: the guaranteed slots add up to all slots, a class without a
// share gets none, and no class with a positive share is left without one while
// there are enough.
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
		for class, share := range shares {
			sum += guaranteed[class]
			if share > 0 {
				positive++
			}
			if share == 0 && guaranteed[class] != 0 {
				t.Fatalf("class without a share has %d slots", guaranteed[class])
			}
		}
		if sum != slots {
			t.Fatalf("guaranteed slots %v add up to %d of %d", guaranteed, sum, slots)
		}
		for class, share := range shares {
			if share > 0 && guaranteed[class] == 0 && slots >= positive {
				t.Fatalf("class %s with share %v has no slot: %v", class, share, guaranteed)
			}
		}
	})
}

// TestControllerAgainstModel compares the controller with a simple model of its
// rule: a released slot goes to the waiting class with the lowest ratio of used
// slots to its share, and no slot is idle while a request waits.
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
					for _, other := range []string{"a", "b", "c"} {
						if waiting[other] > 0 && (best == "" || used[other]*guaranteed[best] < used[best]*guaranteed[other]) {
							best = other
						}
					}
					if best != "" {
						waiting[best]--
						used[best]++
						inUse++
					}
				}
				synctest.Wait()
				for other, usage := range controller.Usage() {
					if usage.Used != used[other] || usage.Waiting != waiting[other] {
						rt.Fatalf("class %s has %d used and %d waiting, the model %d and %d", other, usage.Used, usage.Waiting, used[other], waiting[other])
					}
				}
			}
		})
	})
}

// TestBorrowedSlotsReturned: an idle share is lent completely, and a class that
// needs it back has it after as many requests have ended as it lacks slots. No
// running request is aborted.
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
			t.Errorf("%d slots were released before the class got back its %d", freed, guaranteed)
		}
		controller.Close()
		for range guaranteed + 20 {
			<-done
		}
	})
}

// TestFullQueueRefusesAtOnce: a request that finds a full queue is refused at once,
// not when its time is over.
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
