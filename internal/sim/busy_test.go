package sim

import (
	"sort"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestBusyAtOnce: under twice the load that the room bears, a job that is
// given up is answered long before its time left is over, and told when to
// come back by what it lacked: the queue's drain, not always the same.
func TestBusyAtOnce(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		s := one()
		// A slot takes longer for one job than a second: the queue drains slowly.
		s.Took = map[string]time.Duration{"s": 1500 * time.Millisecond}
		// No haste: otherwise the aim bounds the queue long before its length does.
		s.Doc = strings.ReplaceAll(s.Doc, `"left_ms":600,"aim_ms":600`, `"left_ms":9000,"aim_ms":9000`)
		f := NewFleet(t, s, 380)
		defer f.Stop()
		f.Start()
		f.Load([]standin.Line{{Method: "GET", URI: "/a", Service: "s", Rate: 30}, {Method: "POST", URI: "/b", Service: "s", Rate: 20}}, 30*time.Second)()
		f.Judge()
		var held []time.Duration
		retry := map[int]int{}
		for _, c := range f.Obs.Calls() {
			if c.Status != 503 {
				continue
			}
			held = append(held, c.To.Sub(c.From))
			n, err := strconv.Atoi(c.Retry)
			if err != nil || n < 1 || n > 15 {
				t.Fatalf("Retry-After %q", c.Retry)
			}
			retry[n]++
		}
		if len(held) < 100 {
			t.Fatalf("only %d jobs were given up: %v", len(held), f.Obs.Counts())
		}
		sort.Slice(held, func(i, j int) bool { return held[i] < held[j] })
		at := func(q float64) float64 { return held[int(float64(len(held)-1)*q)].Seconds() / 9 }
		t.Logf("%d given up; held for this part of their time left: p50 %.3f p90 %.3f p99 %.3f most %.3f; told to come back in s: %v", len(held), at(0.5), at(0.9), at(0.99), at(1), retry)
		if at(0.9) > 0.05 || at(1) > 0.52 {
			t.Error("jobs that are given up are held")
		}
		// A queue of 12 of a class that has 7 or 5 of 12 slots, the rest being
		// idle and lent: 13 jobs of 1.5 s take 2.8 or 3.9 s.
		if retry[2]+retry[3]+retry[4]+retry[5] < len(held)*9/10 || retry[3] == 0 || retry[4] == 0 {
			t.Errorf("told to come back in %v, the queues drain in about three and four seconds", retry)
		}
	})
}

// TestBusyAlone: what a front and a control node say when they are cut off
// comes within the bound of a round and names the time of a vacant duty.
func TestBusyAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := one()
		f := NewFleet(t, s, 381)
		defer f.Stop()
		f.Start()
		n := f.Nodes[0]
		f.KillCore(f.Cores[0], false)
		f.KillCore(f.Cores[1], false)
		Wait(4 * time.Second)
		for _, at := range []string{n.Host + ":7003", f.Cores[2].Host + ":7003"} {
			code, got := f.Ask("PUT", at, "/puffin/keys/x?left_ms=1000", `{"value":"x"}`)
			if ms, _ := got["retry_ms"].(float64); code != 503 || ms < 500 || ms > 15000 {
				t.Errorf("%s without a majority: %d %v", at, code, got)
			}
		}
		// A front whose owner of the only worker can't be reached at all.
		for _, m := range f.Nodes[1:] {
			f.KillNode(m)
			f.KillWorker(m)
		}
		f.KillWorker(n)
		Wait(2 * time.Second)
		from := time.Now()
		code, got := f.Ask("GET", n.Host+":8000", "/a", "")
		if ms, _ := got["retry_ms"].(float64); code != 503 || ms < 200 || time.Since(from) > 600*time.Millisecond {
			t.Errorf("nobody to serve: %d %v after %v", code, got, time.Since(from))
		}
	})
}

// TestNestedFull: with every room full, calls that hold a slot wait for slots
// of other services. Nothing deadlocks: all ends within the time left, and
// every room is empty afterwards.
func TestNestedFull(t *testing.T) {
	heavy(t)
	for i, s := range []Shape{Fumettoteca(1.2), Ingenzi(1.4)} {
		t.Run(s.Services[0], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s.Nodes = 8
				// What the nested calls need is what there is least of.
				s.Took["pages"], s.Took["manifests"] = 150*time.Millisecond, 900*time.Millisecond
				f := NewFleet(t, s, uint64(i)+382)
				defer f.Stop()
				f.Start()
				f.Load(s.Lines, 10*time.Second)()
				Wait(time.Second)
				f.Judge()
				for _, n := range f.Nodes {
					_, own := f.Get(n.Host+":7003", "/puffin/own")
					for _, w := range own["workers"].([]any) {
						if used := w.(map[string]any)["used"]; used != 0.0 {
							t.Errorf("%v slots are in use after the load at %v", used, w)
						}
					}
				}
				longest, nested, busy := time.Duration(0), 0, 0
				for _, c := range f.Obs.Calls() {
					longest = max(longest, c.To.Sub(c.From))
					if strings.HasPrefix(c.ID, "nested-") {
						nested++
						if c.Status == 503 {
							busy++
						}
					}
				}
				t.Logf("%d nested calls, %d of them busy; the longest call took %v", nested, busy, longest)
				if nested < 200 || busy == 0 || longest > 12*time.Second+200*time.Millisecond {
					t.Errorf("%d nested calls, %d busy, longest %v", nested, busy, longest)
				}
			})
		})
	}
}
