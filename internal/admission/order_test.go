package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"puffincrank/internal/task"
)

// testRequest is one request of a random history.
type testRequest struct {
	args     Request
	cancel   context.CancelFunc
	outcome  chan string
	sequence int
	deadline time.Time
}

// precedes reports whether a request goes before another equally nested one: by
// lower priority value, then earlier deadline, then earlier arrival.
func (r *testRequest) precedes(other *testRequest) bool {
	if r.args.Priority != other.args.Priority {
		return r.args.Priority < other.args.Priority
	}
	return r.deadline.Before(other.deadline) || r.deadline.Equal(other.deadline) && r.sequence < other.sequence
}

// harness holds a controller and the requests sent to it, as seen by their callers.
type harness struct {
	controller *Controller
	slots      int
	guaranteed map[string]int
	admitted   []*testRequest
	waiting    []*testRequest
	sequence   int
}

func (h *harness) used(class string) (count int) {
	for _, request := range h.admitted {
		if request.args.Class == class {
			count++
		}
	}
	return count
}

// collect removes the requests whose wait has ended and returns those admitted.
func (h *harness) collect(t *rapid.T) (admitted []*testRequest) {
	synctest.Wait()
	var waiting []*testRequest
	for _, request := range h.waiting {
		select {
		case outcome := <-request.outcome:
			if outcome == Admitted {
				admitted = append(admitted, request)
			}
		default:
			waiting = append(waiting, request)
		}
	}
	h.waiting = waiting
	for _, request := range admitted {
		// No request of the same class may pass another one that precedes it, and
		// nested requests go first within a class.
		for _, waiter := range h.waiting {
			if waiter.args.Class == request.args.Class && (waiter.args.Nested == request.args.Nested && waiter.precedes(request) || waiter.args.Nested && !request.args.Nested) {
				t.Fatalf("request %d (nested %v) of %s passed request %d (nested %v)", request.sequence, request.args.Nested, request.args.Class, waiter.sequence, waiter.args.Nested)
			}
		}
	}
	h.admitted = append(h.admitted, admitted...)
	return admitted
}

// check verifies the invariants that hold whenever all goroutines are blocked.
func (h *harness) check(t *rapid.T, grew bool) {
	if grew && len(h.admitted) > h.slots {
		t.Fatalf("%d requests admitted to %d slots", len(h.admitted), h.slots)
	}
	free := h.slots - len(h.admitted)
	for _, waiter := range h.waiting {
		class := waiter.args.Class
		if free > 0 && (waiter.args.Nested || h.used(class) < h.guaranteed[class] || free > h.slots/8) {
			t.Fatalf("%d slots are free, yet a request of %s waits (nested %v, %d of %d used)", free, class, waiter.args.Nested, h.used(class), h.guaranteed[class])
		}
	}
	usages := h.controller.Usage()
	waiting := map[string]int{}
	for _, waiter := range h.waiting {
		waiting[waiter.args.Class]++
	}
	for class, usage := range usages {
		if usage.Used != h.used(class) || usage.Waiting != waiting[class] {
			t.Fatalf("class %s reports %d used and %d waiting, want %d and %d", class, usage.Used, usage.Waiting, h.used(class), waiting[class])
		}
	}
}

// TestAdmissionOrder runs random histories of arrivals, ends, cancellations,
// timeouts and configuration changes. There must never be more requests admitted
// than slots, no slot idle that a waiting request may have, a class below its share
// gets the next free slot, and each class is served in order.
func TestAdmissionOrder(t *testing.T) {
	shareSets := []map[string]float64{{"a": 50, "b": 30, "c": 20}, {"a": 10, "b": 10, "c": 80}, {"a": 100, "b": 0, "c": 0}}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			h := &harness{controller: New()}
			configure := func() {
				h.slots = rapid.IntRange(1, 24).Draw(rt, "slots")
				shares := rapid.SampledFrom(shareSets).Draw(rt, "shares")
				h.guaranteed = GuaranteedSlots(h.slots, shares)
				h.controller.Configure(h.slots, shares, 50)
			}
			configure()
			defer func() {
				for len(h.admitted)+len(h.waiting) > 0 {
					for _, request := range h.waiting {
						request.cancel()
					}
					if len(h.admitted) > 0 {
						h.controller.Release(h.admitted[0].args, 0)
						h.admitted = h.admitted[1:]
					}
					h.collect(rt)
				}
				h.check(rt, true)
			}()
			for range rapid.IntRange(1, 120).Draw(rt, "steps") {
				admittedBefore := len(h.admitted)
				switch rapid.SampledFrom([]string{"enter", "enter", "enter", "leave", "leave", "stop", "sleep", "shape"}).Draw(rt, "step") {
				case "enter":
					ctx, cancel := context.WithCancel(t.Context())
					h.sequence++
					request := &testRequest{cancel: cancel, outcome: make(chan string, 1), sequence: h.sequence, args: Request{Class: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "class"),
						MaxWait: time.Duration(rapid.SampledFrom([]int{1, 5, 1000}).Draw(rt, "wait")) * time.Second, Nested: rapid.IntRange(0, 3).Draw(rt, "inner") == 0, Priority: rapid.IntRange(0, 2).Draw(rt, "rank")}}
					request.deadline = time.Now().Add(request.args.MaxWait)
					h.waiting = append(h.waiting, request)
					go func() { request.outcome <- h.controller.Acquire(ctx, request.args) }()
				case "leave":
					if len(h.admitted) == 0 {
						continue
					}
					index := rapid.IntRange(0, len(h.admitted)-1).Draw(rt, "who")
					request := h.admitted[index]
					h.admitted = append(h.admitted[:index:index], h.admitted[index+1:]...)
					belowGuarantee := map[string]bool{}
					for _, waiter := range h.waiting {
						belowGuarantee[waiter.args.Class] = h.used(waiter.args.Class) < h.guaranteed[waiter.args.Class]
					}
					wasFull := len(h.admitted) == h.slots-1
					h.controller.Release(request.args, time.Millisecond)
					for _, admitted := range h.collect(rt) {
						for class, wasBelow := range belowGuarantee {
							if wasFull && wasBelow && !belowGuarantee[admitted.args.Class] {
								t.Fatalf("%s was below its share, but %s got the slot", class, admitted.args.Class)
							}
						}
					}
				case "stop":
					if len(h.waiting) > 0 {
						h.waiting[rapid.IntRange(0, len(h.waiting)-1).Draw(rt, "who")].cancel()
					}
				case "sleep":
					task.Sleep(t.Context(), time.Duration(rapid.IntRange(1, 3).Draw(rt, "s"))*time.Second)
				case "shape":
					configure()
				}
				h.collect(rt)
				h.check(rt, len(h.admitted) > admittedBefore)
			}
		})
	})
}

// TestSlotsReservedForNested: where nested requests are common, some slots are
// withheld from classes that would borrow them, but never from a class below its
// share. Without nested requests no slot is reserved.
func TestSlotsReservedForNested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(16, map[string]float64{"a": 50, "b": 50}, 100)
		fillSlots := func() (admitted int) {
			ctx, cancel := context.WithCancel(t.Context())
			outcomes := make(chan string, 16)
			for range 16 {
				go func() { outcomes <- controller.Acquire(ctx, Request{Class: "a", MaxWait: time.Hour}) }()
			}
			synctest.Wait()
			cancel()
			for range 16 {
				if <-outcomes == Admitted {
					admitted++
				}
			}
			return admitted
		}
		freeSlots := func(lent int) {
			for range lent {
				controller.Release(Request{Class: "a"}, time.Millisecond)
			}
		}
		lent := fillSlots()
		if lent != 16 {
			t.Fatalf("without nested requests %d of 16 slots were lent", lent)
		}
		freeSlots(lent)
		nested := Request{Class: "a", MaxWait: time.Second, Nested: true}
		for range 100 {
			controller.Acquire(t.Context(), nested)
			controller.Release(nested, time.Millisecond)
		}
		lent = fillSlots()
		if lent != 14 {
			t.Fatalf("with nested requests %d of 16 slots were lent", lent)
		}
		if outcome := controller.Acquire(t.Context(), nested); outcome != Admitted {
			t.Errorf("a nested request got no reserved slot: %s", outcome)
		}
		if outcome := controller.Acquire(t.Context(), Request{Class: "b", MaxWait: time.Second}); outcome != Admitted {
			t.Errorf("a class below its share got no reserved slot: %s", outcome)
		}
	})
}

// TestWaitBoundedByTarget: a request waits for at most a quarter of its target, and
// is refused at once if no slot is expected to become free in that time.
func TestWaitBoundedByTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(1, map[string]float64{"a": 100}, 10)
		request := Request{Class: "a", MaxWait: time.Minute, Target: 400 * time.Millisecond}
		controller.Acquire(t.Context(), request)
		start := time.Now()
		if outcome := controller.Acquire(t.Context(), request); outcome != NoTimeLeft || time.Since(start) != 100*time.Millisecond {
			t.Errorf("got %q after %v", outcome, time.Since(start))
		}
		task.Sleep(t.Context(), 900*time.Millisecond)
		controller.Release(request, time.Second)
		controller.Acquire(t.Context(), request)
		start = time.Now()
		if outcome := controller.Acquire(t.Context(), request); outcome != QueueFull || time.Since(start) != 0 {
			t.Errorf("no slot expected in time: got %q after %v", outcome, time.Since(start))
		}
		controller.Release(request, time.Millisecond)
	})
}
