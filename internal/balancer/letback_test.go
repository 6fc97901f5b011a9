package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLetBack: a worker that turned unfit again and again and missed every aim,
// and of which nothing is heard since because its jobs may not be sent again, is
// nominated once more within a window and a half.
func TestLetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New("a", time.Second, window, nil)
		all := trio()
		n.Pick(all, PickRequest{Route: "p"})
		end := func(worker string, ok bool) {
			n.RecordOutcome(Outcome{Worker: worker, Service: "s", Route: "p", UsedSlots: 1, RoundTrip: 100 * time.Millisecond, RunTime: 100 * time.Millisecond, MissedTarget: !ok, OK: ok, AboutWorker: true})
		}
		for range 4 {
			for range 40 {
				end("one", false)
				end("two", true)
				end("three", true)
			}
			if w := n.Weights()["one"]; w > 0.1 {
				t.Fatalf("fitness of %.2f after 40 failures", w)
			}
			for range 40 {
				end("one", true)
			}
		}
		for range 40 {
			end("one", false)
		}
		fell := time.Now()
		back := time.Duration(0)
		for back == 0 && time.Since(fell) < 6*window {
			<-time.After(window / 50)
			e, _ := n.Pick(all, PickRequest{Route: "p", Target: 300 * time.Millisecond})
			if e.Worker == "one" {
				back = time.Since(fell)
				continue
			}
			end(e.Worker, true)
		}
		t.Logf("back after %v", back)
		if back < window/4 || back > window*3/2+window/10 {
			t.Errorf("back after %v, a window is %v", back, window)
		}
	})
}
