package transport

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFlowMoves: whatever the marks tell and however long a link rests, bulk
// that has the turn may go out, or a mark is under way whose receipt wakes it.
func TestFlowMoves(t *testing.T) {
	const patience = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := flow{on: true, let: true, win: start}
		now, id := time.Second, uint64(0)
		pace := func() {
			if w.due() {
				id++
				w.sent(id, now)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.wake(now, patience)
				pace()
			case 1:
				if w.open() {
					w.went(rapid.IntRange(1, w.cut(piece)+30).Draw(t, "size"))
					pace()
				}
			case 2:
				if len(w.marks) == 0 {
					continue
				}
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
				there := time.Duration(0)
				if rapid.Bool().Draw(t, "tells") {
					there = now - time.Millisecond
				}
				// Now and then a receipt stands for those before it.
				k := rapid.IntRange(0, len(w.marks)-1).Draw(t, "mark")
				if w.passed(id+1) || !w.passed(w.marks[k].id) {
					t.Fatal("a mark isn't known")
				}
				if gap := w.acked(now, there, patience, rapid.Bool().Draw(t, "more")); gap > patience {
					t.Fatalf("a pause of %v", gap)
				}
				pace()
			case 3:
				now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "rest")) * time.Millisecond
			}
			if !w.open() && len(w.marks) == 0 {
				t.Fatalf("bulk waits for nothing: %+v", w)
			}
			if w.win < least || w.win > widest || w.out < 0 || w.bare < 0 || len(w.marks) == 0 && w.out != w.bare {
				t.Fatalf("%+v", w)
			}
		}
	})
}

// TestWindow: the window comes to what fills a link and little more, whatever
// the link's speed and length are, and whether the fellow tells when marks come.
func TestWindow(t *testing.T) {
	const patience = 500 * time.Millisecond
	for _, tells := range []bool{true, false} {
		for _, rate := range []int{125_000, 1_000_000, 12_500_000} {
			for _, long := range []time.Duration{time.Millisecond, 100 * time.Millisecond} {
				w := flow{on: true, let: true, win: start}
				now, free, id := time.Second, time.Second, uint64(0)
				type due struct{ there, back time.Duration }
				var back []due
				for end := now + 20*time.Second; now < end; {
					if w.open() {
						n := w.cut(piece)
						w.went(n)
						free = max(free, now) + time.Duration(n)*time.Second/time.Duration(rate)
						if w.due() {
							id++
							w.sent(id, now)
							back = append(back, due{free + long/2, free + long})
						}
						continue
					}
					now = max(now, back[0].back)
					there := time.Duration(0)
					if tells {
						there = back[0].there - long/2
					}
					back = back[1:]
					w.acked(now, there, patience, true)
				}
				late := free - now
				if got := w.gauge.speed; got < float64(rate)*0.7 || late > patience/ease*2 {
					t.Errorf("at %d bytes a second over %v, tells %v: %.0f, with a delay of %v", rate, long, tells, got, late)
				}
			}
		}
	}
}

// TestRested: a link that met a delay a moment ago doesn't open its window beyond
// what it was then, though it rested, or those that wait for their turns would
// each take from the ones that go. Up to there it is as quick as ever, so that a
// moment's delay costs a wide link nothing, and without one for long beyond it too.
func TestRested(t *testing.T) {
	const patience = 500 * time.Millisecond
	for _, c := range []struct {
		rest        time.Duration
		win         int
		least, most float64 // the window afterwards, to what it was
	}{{stale * patience * 3 / 2, start, 0.9, 1.25}, {stale * patience * 3 / 2, 16 * start, 0.9, 1.25}, {lull * patience, start, 4, 1000}} {
		w := flow{on: true, let: true, win: c.win}
		now, id := time.Second, uint64(0)
		round := func(took time.Duration) {
			for w.open() && !w.due() {
				w.went(w.cut(piece))
			}
			id++
			w.sent(id, now)
			now += took
			if !w.passed(id) {
				t.Fatal("the mark isn't known")
			}
			w.acked(now, 0, patience, true)
		}
		round(time.Millisecond)
		for range 2 * often {
			round(patience / ease * 9 / 10)
		}
		was := float64(w.win)
		now += c.rest
		if w.wake(now, patience); w.win > start {
			t.Errorf("a window of %d after a rest", w.win)
		}
		for range 8 * often {
			round(time.Millisecond)
		}
		if got := float64(w.win) / was; got < c.least || got > c.most {
			t.Errorf("after a rest of %v the window came to %.2f of what it was, %.0f", c.rest, got, was)
		}
	}
}
