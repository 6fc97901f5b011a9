package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestQueuedOnce: a job waits for slots for half of its time, all workers
// together. One that waited that long at a full worker is not queued again at
// the next, which would hold it for three quarters of its time and more; but a
// slot that is free elsewhere by then it takes.
func TestQueuedOnce(t *testing.T) {
	for _, free := range []bool{false, true} {
		t.Run(map[bool]string{false: "all full", true: "one free"}[free], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := one()
				s.Took["s"] = 40 * time.Second
				s.Doc = strings.Replace(s.Doc, `"left_ms":600,"aim_ms":600`, `"left_ms":9000,"aim_ms":9000`, 1)
				s.Doc = strings.ReplaceAll(s.Doc, `"left_ms":600,"aim_ms":600`, `"left_ms":60000,"aim_ms":60000`)
				f := NewFleet(t, s, 383)
				defer f.Stop()
				f.Start()
				own := standin.NewCallers(f.env("own", "10.0.9.3", "outside", &f.Nodes[0].skew), nil, f.Obs, time.Minute)
				got := make(chan standin.Call, 3+3*s.Slots)
				ask := func(n *Node, uri, left string) {
					f.g.Go("ask", func(context.Context) {
						got <- own.At(n.Host+":8000", standin.Line{Method: "GET", URI: uri, Service: "s", Left: left})
					})
				}
				// All slots are taken by jobs that run for longer than the others wait,
				// but for one, whose job soon comes to the end of its time.
				for i := range 3 * s.Slots {
					left := "60000"
					if free && i == 0 {
						left = "4500"
					}
					ask(f.Nodes[i%3], "/b", left)
					Wait(20 * time.Millisecond)
				}
				for _, n := range f.Nodes {
					if n.Worker.Ran() != s.Slots {
						t.Fatalf("%s has %d jobs", n.Worker.ID, n.Worker.Ran())
					}
					n.Worker.Behave(standin.Way{Took: 50 * time.Millisecond})
				}
				// Nothing has ended yet, so nothing is known of how long that takes.
				from := time.Now()
				for _, n := range f.Nodes {
					ask(n, "/a", "")
					Wait(300 * time.Millisecond)
				}
				for ends := 0; ends < 3; {
					c := <-got
					if c.From.Before(from) {
						continue
					}
					ends++
					held := c.To.Sub(c.From).Seconds() / 9
					t.Logf("%d after %.3f of its time: %s", c.Status, held, c.Body)
					switch {
					case free && c.Status != 200:
						t.Error("a slot was free elsewhere")
					case !free && (c.Status != 503 || c.Ran != "no" || c.Retry == ""):
						t.Error("no slot was free at all")
					}
					if held < 0.3 || held > 0.52 {
						t.Errorf("held for %.3f of its time", held)
					}
				}
			})
		})
	}
}
