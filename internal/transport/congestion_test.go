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
		w := congestion{enabled: true, hasTurn: true, window: initialWindow}
		now, id := time.Second, uint64(0)
		pace := func() {
			if w.probeDue() {
				id++
				w.probeSent(id, now)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.resumeFromIdle(now, patience)
				pace()
			case 1:
				if w.maySend() {
					w.recordSent(rapid.IntRange(1, w.limitChunk(maxChunk)+30).Draw(t, "size"))
					pace()
				}
			case 2:
				if len(w.probes) == 0 {
					continue
				}
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
				there := time.Duration(0)
				if rapid.Bool().Draw(t, "tells") {
					there = now - time.Millisecond
				}
				// Now and then a receipt stands for those before it.
				k := rapid.IntRange(0, len(w.probes)-1).Draw(t, "mark")
				if w.matchProbe(id+1) || !w.matchProbe(w.probes[k].id) {
					t.Fatal("a mark isn't known")
				}
				if gap := w.probeAcked(now, there, patience, rapid.Bool().Draw(t, "more")); gap > patience {
					t.Fatalf("a pause of %v", gap)
				}
				pace()
			case 3:
				now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "rest")) * time.Millisecond
			}
			if !w.maySend() && len(w.probes) == 0 {
				t.Fatalf("bulk waits for nothing: %+v", w)
			}
			if w.window < minWindow || w.window > maxWindow || w.inFlight < 0 || w.unprobed < 0 || len(w.probes) == 0 && w.inFlight != w.unprobed {
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
				w := congestion{enabled: true, hasTurn: true, window: initialWindow}
				now, free, id := time.Second, time.Second, uint64(0)
				type due struct{ there, back time.Duration }
				var back []due
				for end := now + 20*time.Second; now < end; {
					if w.maySend() {
						n := w.limitChunk(maxChunk)
						w.recordSent(n)
						free = max(free, now) + time.Duration(n)*time.Second/time.Duration(rate)
						if w.probeDue() {
							id++
							w.probeSent(id, now)
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
					w.probeAcked(now, there, patience, true)
				}
				late := free - now
				if got := w.rate.bytesPerSecond; got < float64(rate)*0.7 || late > patience/delayDivisor*2 {
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
	}{{staleTimeouts * patience * 3 / 2, initialWindow, 0.9, 1.25}, {staleTimeouts * patience * 3 / 2, 16 * initialWindow, 0.9, 1.25}, {quietTimeouts * patience, initialWindow, 4, 1000}} {
		w := congestion{enabled: true, hasTurn: true, window: c.win}
		now, id := time.Second, uint64(0)
		round := func(took time.Duration) {
			for w.maySend() && !w.probeDue() {
				w.recordSent(w.limitChunk(maxChunk))
			}
			id++
			w.probeSent(id, now)
			now += took
			if !w.matchProbe(id) {
				t.Fatal("the mark isn't known")
			}
			w.probeAcked(now, 0, patience, true)
		}
		round(time.Millisecond)
		for range 2 * probesPerWindow {
			round(patience / delayDivisor * 9 / 10)
		}
		was := float64(w.window)
		now += c.rest
		if w.resumeFromIdle(now, patience); w.window > initialWindow {
			t.Errorf("a window of %d after a rest", w.window)
		}
		for range 8 * probesPerWindow {
			round(time.Millisecond)
		}
		if got := float64(w.window) / was; got < c.least || got > c.most {
			t.Errorf("after a rest of %v the window came to %.2f of what it was, %.0f", c.rest, got, was)
		}
	}
}
