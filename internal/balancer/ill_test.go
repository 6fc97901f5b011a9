package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ailment is one way for a worker to be ill, from 10 s to 17 s of a field.
type ailment struct {
	name string
	x    float64
	bad  float64 // what the jobs that fail or are late may be, as a part of those under mere chance
}

func (a ailment) at(now time.Duration) (string, float64) {
	switch {
	case now < 10*time.Second || now > 17*time.Second:
		return "", 0
	case a.name != "flap":
		return a.name, a.x
	case now/time.Second%2 == 0:
		return "", 0
	}
	return "down", 1
}

// TestIll plays services of several sizes with a seventh of the workers ill in
// each manner: jobs keep away, those that may not be sent again most of all, and
// come back within the window; against workers chosen by mere chance.
func TestIll(t *testing.T) {
	for _, size := range []struct{ fronts, workers, areas int }{{12, 4, 3}, {12, 12, 3}, {78, 39, 4}} {
		for _, how := range []ailment{{"slow", 5.4, 0.6}, {"errors", 0.44, 0.35}, {"errors", 1, 0.2}, {"shed", 0.45, 0.35}, {"hang", 0.4, 0.6}, {"flap", 1, 0.35}} {
			t.Run(fmt.Sprint(size, how.name, how.x), func(t *testing.T) {
				// One worker alone has its probes by chance, and so the time of its
				// return: a single field's part has a deviation of 0.17, the mean of
				// six less than half of that.
				ills, fields := max(size.workers/7, 1), 1
				if ills == 1 {
					fields = 6
				}
				bad, once := map[bool]float64{}, map[bool]float64{}
				for _, blind := range []bool{true, false} {
					ill, soon, after := 0.0, 0.0, 0.0
					for seed := range fields {
						synctest.Test(t, func(t *testing.T) {
							f := newField(size.fronts, size.workers, size.areas, uint64(3+seed))
							f.blind, f.safe = blind, 0.7
							is := func(h *hand) bool { return h.at < ills }
							for _, h := range f.hands[:ills] {
								h.ill = how.at
							}
							f.play(10 * time.Second)
							clear(f.counts)
							f.play(7 * time.Second)
							f.overdue()
							bad[blind] += float64(f.counts["bad"]) / float64(f.counts["all"]) / float64(fields)
							once[blind] += float64(f.counts["bad once"]) / float64(f.counts["once"]) / float64(fields)
							f.play(15 * time.Second)
							ill += f.part(12, 17, is) / float64(fields)
							soon += f.part(22, 27, is) / float64(fields)
							after += f.part(27, 32, is) / float64(fields)
							if f.told > 16*ills && !blind {
								t.Errorf("%d words for %d workers", f.told, ills)
							}
						})
					}
					t.Logf("by chance %v: of an even part %.2f while ill, %.2f and %.2f from 5 and 10 s after; failed or late %.4f, of those sent once %.4f",
						blind, ill, soon, after, bad[blind], once[blind])
					if blind {
						continue
					}
					most, low, lower := 0.25, 0.6, 0.2
					if ills == 1 {
						most, low = 0.2, 0.45
					}
					if ill > most || after < low || soon < lower {
						t.Error("jobs do not follow the worker's fitness")
					}
				}
				if bad[false] > how.bad*bad[true] || once[false] > how.bad*once[true] {
					t.Errorf("bad %v, sent once %v", bad, once)
				}
			})
		}
	}
}

// TestAllIll: when all workers of a service fail alike, none of them is left out,
// and nobody is told of doubts that say nothing.
func TestAllIll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(12, 12, 3, 5)
		for _, h := range f.hands {
			h.ill = func(now time.Duration) (string, float64) {
				if now < 5*time.Second {
					return "", 0
				}
				return "errors", 0.5
			}
		}
		f.play(20 * time.Second)
		for _, h := range f.hands {
			if p := f.part(12, 20, func(o *hand) bool { return o == h }); p < 0.2 {
				t.Errorf("worker %d has %.2f of an even part", h.at, p)
			}
		}
	})
}

// TestBadLuck: what one front met by chance weighs little once the owner says
// what it saw, and is forgotten with time where nothing more is heard.
func TestBadLuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New("a", time.Second, window, nil)
		all := append(trio(), entry("four", "a"))
		fails := func(word WorkerReport) float64 {
			for range 8 {
				n.RecordOutcome(Outcome{Worker: "one", Service: "s", Route: "p", UsedSlots: -1, AboutWorker: true, Report: word})
			}
			return n.Weights()["one"]
		}
		n.Pick(all, PickRequest{Route: "p"})
		if w := fails(WorkerReport{}); w > 0.1 {
			t.Errorf("8 failures in a row leave %.2f", w)
		}
		if w := fails(WorkerReport{PaceEighths: 8, FailedPer64: 1}); w < 0.9 {
			t.Errorf("its owner says that one in 64 fails: %.2f", w)
		}
		fails(WorkerReport{})
		<-time.After(window * 2)
		if w := n.Weights()["one"]; w < 0.7 {
			t.Errorf("after two windows without a word there is %.2f", w)
		}
	})
}

// TestCold: a worker is doubted a little as long as it says that it is cold, and
// no longer.
func TestCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWorkerStats(window)
		o.SetWarmup(3 * time.Second)
		if d := o.Suspicion(0); d != 1 {
			t.Errorf("doubts of %d while cold", d)
		}
		<-time.After(4 * time.Second)
		if d := o.Suspicion(0); d != 0 {
			t.Errorf("doubts of %d when warm", d)
		}
	})
}

// TestBack: a worker whose doubts come again and again is let back more slowly
// each time, and one that nobody asks is let back with time alone.
func TestBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWorkerStats(window)
		var longs []time.Duration
		for range 4 {
			for range 40 {
				o.RecordRun("p", 100, 100)
			}
			o.RecordFailures(40)
			if o.Suspicion(0) != MaxSuspicion {
				t.Fatal("40 failures and no doubt")
			}
			from := time.Now()
			for o.Suspicion(0) > 0 {
				<-time.After(100 * time.Millisecond)
				o.RecordRun("p", 100, 100)
			}
			longs = append(longs, time.Since(from))
		}
		for i := 1; i < len(longs); i++ {
			if longs[i]+window/50 < longs[i-1] {
				t.Errorf("let back after %v", longs)
			}
		}
		if longs[0] > window/2 || longs[3] < 2*longs[0] {
			t.Errorf("let back after %v", longs)
		}
		lone := NewWorkerStats(window)
		// However often it fell, it is asked again within a window.
		for range 4 {
			lone.RecordFailures(40)
			if lone.Suspicion(0) != MaxSuspicion {
				t.Fatal("no doubt")
			}
			from := time.Now()
			for lone.Suspicion(0) > 0 && time.Since(from) < 9*window {
				<-time.After(window / 100)
			}
			if long := time.Since(from); long > window+window/20 {
				t.Errorf("doubts of one that nobody asks stay for %v", long)
			}
		}
	})
}
