package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"puffincrank/internal/task"
)

// guest is one job of a played room.
type guest struct {
	ask  Request
	stop context.CancelFunc
	why  chan string
	num  int
	due  time.Time
}

// goes tells whether a guest of the same right goes before another: its rank is
// lower, or its wait ends earlier, or it came earlier and waits as long.
func (g *guest) goes(o *guest) bool {
	if g.ask.Priority != o.ask.Priority {
		return g.ask.Priority < o.ask.Priority
	}
	return g.due.Before(o.due) || g.due.Equal(o.due) && g.num < o.num
}

// scene is a room and who is in it, as seen from outside.
type scene struct {
	r       *Controller
	slots   int
	floor   map[string]int
	inside  []*guest
	waiting []*guest
	seq     int
}

func (s *scene) used(class string) (n int) {
	for _, g := range s.inside {
		if g.ask.Class == class {
			n++
		}
	}
	return n
}

// settle moves the waiters whose wait has ended and gives those who came in.
func (s *scene) settle(t *rapid.T) (in []*guest) {
	synctest.Wait()
	var still []*guest
	for _, g := range s.waiting {
		select {
		case why := <-g.why:
			if why == Admitted {
				in = append(in, g)
			}
		default:
			still = append(still, g)
		}
	}
	s.waiting = still
	for _, g := range in {
		// Whoever is of a lower rank, or has less time, or as much and came earlier, with the same
		// right, was not passed over, and inner jobs go first within a class.
		for _, w := range s.waiting {
			if w.ask.Class == g.ask.Class && (w.ask.Nested == g.ask.Nested && w.goes(g) || w.ask.Nested && !g.ask.Nested) {
				t.Fatalf("job %d (inner %v) of %s passed job %d (inner %v)", g.num, g.ask.Nested, g.ask.Class, w.num, w.ask.Nested)
			}
		}
	}
	s.inside = append(s.inside, in...)
	return in
}

// whole checks what must hold whenever all is quiet.
func (s *scene) whole(t *rapid.T, more bool) {
	if more && len(s.inside) > s.slots {
		t.Fatalf("%d jobs have one of %d slots", len(s.inside), s.slots)
	}
	free := s.slots - len(s.inside)
	for _, w := range s.waiting {
		c := w.ask.Class
		if free > 0 && (w.ask.Nested || s.used(c) < s.floor[c] || free > s.slots/8) {
			t.Fatalf("%d slots are free, yet a job of %s waits (inner %v, %d of %d used)", free, c, w.ask.Nested, s.used(c), s.floor[c])
		}
	}
	uses := s.r.Usage()
	waits := map[string]int{}
	for _, w := range s.waiting {
		waits[w.ask.Class]++
	}
	for c, u := range uses {
		if u.Used != s.used(c) || u.Waiting != waits[c] {
			t.Fatalf("%s says %d used and %d waiting, there are %d and %d", c, u.Used, u.Waiting, s.used(c), waits[c])
		}
	}
}

// TestTurns: through entries, ends, people who give up, waits that run out and
// new shapes: never more jobs than slots, no slot idle that a waiter may have,
// a class below its share gets the next free slot, each class in its order.
func TestTurns(t *testing.T) {
	shapes := []map[string]float64{{"a": 50, "b": 30, "c": 20}, {"a": 10, "b": 10, "c": 80}, {"a": 100, "b": 0, "c": 0}}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &scene{r: New()}
			shape := func() {
				s.slots = rapid.IntRange(1, 24).Draw(rt, "slots")
				shares := rapid.SampledFrom(shapes).Draw(rt, "shares")
				s.floor = Floors(s.slots, shares)
				s.r.Configure(s.slots, shares, 50)
			}
			shape()
			defer func() {
				for len(s.inside)+len(s.waiting) > 0 {
					for _, g := range s.waiting {
						g.stop()
					}
					if len(s.inside) > 0 {
						s.r.Release(s.inside[0].ask, 0)
						s.inside = s.inside[1:]
					}
					s.settle(rt)
				}
				s.whole(rt, true)
			}()
			for range rapid.IntRange(1, 120).Draw(rt, "steps") {
				had := len(s.inside)
				switch rapid.SampledFrom([]string{"enter", "enter", "enter", "leave", "leave", "stop", "sleep", "shape"}).Draw(rt, "step") {
				case "enter":
					ctx, stop := context.WithCancel(t.Context())
					s.seq++
					g := &guest{stop: stop, why: make(chan string, 1), num: s.seq, ask: Request{Class: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "class"),
						MaxWait: time.Duration(rapid.SampledFrom([]int{1, 5, 1000}).Draw(rt, "wait")) * time.Second, Nested: rapid.IntRange(0, 3).Draw(rt, "inner") == 0, Priority: rapid.IntRange(0, 2).Draw(rt, "rank")}}
					g.due = time.Now().Add(g.ask.MaxWait)
					s.waiting = append(s.waiting, g)
					go func() { g.why <- s.r.Acquire(ctx, g.ask) }()
				case "leave":
					if len(s.inside) == 0 {
						continue
					}
					i := rapid.IntRange(0, len(s.inside)-1).Draw(rt, "who")
					g := s.inside[i]
					s.inside = append(s.inside[:i:i], s.inside[i+1:]...)
					poor := map[string]bool{}
					for _, w := range s.waiting {
						poor[w.ask.Class] = s.used(w.ask.Class) < s.floor[w.ask.Class]
					}
					full := len(s.inside) == s.slots-1
					s.r.Release(g.ask, time.Millisecond)
					for _, in := range s.settle(rt) {
						for c, lacks := range poor {
							if full && lacks && !poor[in.ask.Class] {
								t.Fatalf("%s lacked a slot, and %s got it", c, in.ask.Class)
							}
						}
					}
				case "stop":
					if len(s.waiting) > 0 {
						s.waiting[rapid.IntRange(0, len(s.waiting)-1).Draw(rt, "who")].stop()
					}
				case "sleep":
					task.Sleep(t.Context(), time.Duration(rapid.IntRange(1, 3).Draw(rt, "s"))*time.Second)
				case "shape":
					shape()
				}
				s.settle(rt)
				s.whole(rt, len(s.inside) > had)
			}
		})
	})
}

// TestReserve: where inner jobs are usual, some slots are kept from those who
// would borrow them, never from a class below its share; without inner jobs
// nothing is kept back.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(16, map[string]float64{"a": 50, "b": 50}, 100)
		fill := func() (in int) {
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan string, 16)
			for range 16 {
				go func() { done <- r.Acquire(ctx, Request{Class: "a", MaxWait: time.Hour}) }()
			}
			synctest.Wait()
			stop()
			for range 16 {
				if <-done == Admitted {
					in++
				}
			}
			return in
		}
		empty := func(n int) {
			for range n {
				r.Release(Request{Class: "a"}, time.Millisecond)
			}
		}
		n := fill()
		if n != 16 {
			t.Fatalf("without inner jobs %d of 16 slots were lent", n)
		}
		empty(n)
		inner := Request{Class: "a", MaxWait: time.Second, Nested: true}
		for range 100 {
			r.Acquire(t.Context(), inner)
			r.Release(inner, time.Millisecond)
		}
		n = fill()
		if n != 14 {
			t.Fatalf("with inner jobs %d of 16 slots were lent", n)
		}
		if why := r.Acquire(t.Context(), inner); why != Admitted {
			t.Errorf("an inner job got no kept slot: %s", why)
		}
		if why := r.Acquire(t.Context(), Request{Class: "b", MaxWait: time.Second}); why != Admitted {
			t.Errorf("a class below its share got no kept slot: %s", why)
		}
	})
}

// TestAim: a job waits a quarter of its aim at the most, however long its
// caller would, and one that can't hope for a slot in it is told so at once.
func TestAim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(1, map[string]float64{"a": 100}, 10)
		a := Request{Class: "a", MaxWait: time.Minute, Target: 400 * time.Millisecond}
		r.Acquire(t.Context(), a)
		from := time.Now()
		if why := r.Acquire(t.Context(), a); why != NoTimeLeft || time.Since(from) != 100*time.Millisecond {
			t.Errorf("got %q after %v", why, time.Since(from))
		}
		task.Sleep(t.Context(), 900*time.Millisecond)
		r.Release(a, time.Second)
		r.Acquire(t.Context(), a)
		from = time.Now()
		if why := r.Acquire(t.Context(), a); why != QueueFull || time.Since(from) != 0 {
			t.Errorf("without hope: %q after %v", why, time.Since(from))
		}
		r.Release(a, time.Millisecond)
	})
}
