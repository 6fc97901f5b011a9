package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"puffincrank/internal/task"
)

// testRequest is one job of a played room.
type testRequest struct {
	request  Request
	cancel   context.CancelFunc
	outcome  chan string
	sequence int
	deadline time.Time
}

// precedes tells whether a guest of the same right goes before another: its rank is
// lower, or its wait ends earlier, or it came earlier and waits as long.
func (r *testRequest) precedes(other *testRequest) bool {
	if r.request.Priority != other.request.Priority {
		return r.request.Priority < other.request.Priority
	}
	return r.deadline.Before(other.deadline) || r.deadline.Equal(other.deadline) && r.sequence < other.sequence
}

// harness is a room and who is in it, as seen from outside.
type harness struct {
	controller *Controller
	slots      int
	guaranteed map[string]int
	admitted   []*testRequest
	waiting    []*testRequest
	seq        int
}

func (h *harness) used(class string) (count int) {
	for _, request := range h.admitted {
		if request.request.Class == class {
			count++
		}
	}
	return count
}

// collect moves the waiters whose wait has ended and gives those who came in.
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
		// Whoever is of a lower rank, or has less time, or as much and came earlier, with the same
		// right, was not passed over, and inner jobs go first within a class.
		for _, waiter := range h.waiting {
			if waiter.request.Class == request.request.Class && (waiter.request.Nested == request.request.Nested && waiter.precedes(request) || waiter.request.Nested && !request.request.Nested) {
				t.Fatalf("job %d (inner %v) of %s passed job %d (inner %v)", request.sequence, request.request.Nested, request.request.Class, waiter.sequence, waiter.request.Nested)
			}
		}
	}
	h.admitted = append(h.admitted, admitted...)
	return admitted
}

// check checks what must hold whenever all is quiet.
func (h *harness) check(t *rapid.T, grew bool) {
	if grew && len(h.admitted) > h.slots {
		t.Fatalf("%d jobs have one of %d slots", len(h.admitted), h.slots)
	}
	free := h.slots - len(h.admitted)
	for _, waiter := range h.waiting {
		class := waiter.request.Class
		if free > 0 && (waiter.request.Nested || h.used(class) < h.guaranteed[class] || free > h.slots/8) {
			t.Fatalf("%d slots are free, yet a job of %s waits (inner %v, %d of %d used)", free, class, waiter.request.Nested, h.used(class), h.guaranteed[class])
		}
	}
	usages := h.controller.Usage()
	waiting := map[string]int{}
	for _, waiter := range h.waiting {
		waiting[waiter.request.Class]++
	}
	for class, usage := range usages {
		if usage.Used != h.used(class) || usage.Waiting != waiting[class] {
			t.Fatalf("%s says %d used and %d waiting, there are %d and %d", class, usage.Used, usage.Waiting, h.used(class), waiting[class])
		}
	}
}

// TestAdmissionOrder: through entries, ends, people who give up, waits that run out and
// new shapes: never more jobs than slots, no slot idle that a waiter may have,
// a class below its share gets the next free slot, each class in its order.
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
						h.controller.Release(h.admitted[0].request, 0)
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
					h.seq++
					request := &testRequest{cancel: cancel, outcome: make(chan string, 1), sequence: h.seq, request: Request{Class: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "class"),
						MaxWait: time.Duration(rapid.SampledFrom([]int{1, 5, 1000}).Draw(rt, "wait")) * time.Second, Nested: rapid.IntRange(0, 3).Draw(rt, "inner") == 0, Priority: rapid.IntRange(0, 2).Draw(rt, "rank")}}
					request.deadline = time.Now().Add(request.request.MaxWait)
					h.waiting = append(h.waiting, request)
					go func() { request.outcome <- h.controller.Acquire(ctx, request.request) }()
				case "leave":
					if len(h.admitted) == 0 {
						continue
					}
					index := rapid.IntRange(0, len(h.admitted)-1).Draw(rt, "who")
					request := h.admitted[index]
					h.admitted = append(h.admitted[:index:index], h.admitted[index+1:]...)
					belowGuarantee := map[string]bool{}
					for _, waiter := range h.waiting {
						belowGuarantee[waiter.request.Class] = h.used(waiter.request.Class) < h.guaranteed[waiter.request.Class]
					}
					wasFull := len(h.admitted) == h.slots-1
					h.controller.Release(request.request, time.Millisecond)
					for _, admitted := range h.collect(rt) {
						for c, wasBelow := range belowGuarantee {
							if wasFull && wasBelow && !belowGuarantee[admitted.request.Class] {
								t.Fatalf("%s lacked a slot, and %s got it", c, admitted.request.Class)
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

// TestSlotsReservedForNested: where inner jobs are usual, some slots are kept from those who
// would borrow them, never from a class below its share; without inner jobs
// nothing is kept back.
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
		releaseSlots := func(lent int) {
			for range lent {
				controller.Release(Request{Class: "a"}, time.Millisecond)
			}
		}
		lent := fillSlots()
		if lent != 16 {
			t.Fatalf("without inner jobs %d of 16 slots were lent", lent)
		}
		releaseSlots(lent)
		nested := Request{Class: "a", MaxWait: time.Second, Nested: true}
		for range 100 {
			controller.Acquire(t.Context(), nested)
			controller.Release(nested, time.Millisecond)
		}
		lent = fillSlots()
		if lent != 14 {
			t.Fatalf("with inner jobs %d of 16 slots were lent", lent)
		}
		if outcome := controller.Acquire(t.Context(), nested); outcome != Admitted {
			t.Errorf("an inner job got no kept slot: %s", outcome)
		}
		if outcome := controller.Acquire(t.Context(), Request{Class: "b", MaxWait: time.Second}); outcome != Admitted {
			t.Errorf("a class below its share got no kept slot: %s", outcome)
		}
	})
}

// TestWaitBoundedByTarget: a job waits a quarter of its aim at the most, however long its
// caller would, and one that can't hope for a slot in it is told so at once.
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
			t.Errorf("without hope: %q after %v", outcome, time.Since(start))
		}
		controller.Release(request, time.Millisecond)
	})
}
