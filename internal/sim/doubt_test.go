package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// TestDoubted: a worker that fails half of its jobs at once, among 36 nodes that
// each see a job of it in a second or so. Its owner sees all, so all keep away
// within a second, and come back when it is well.
func TestDoubted(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		s := one()
		s.Nodes = 36
		s.Doc = strings.ReplaceAll(s.Doc, `"aim_ms":600`, `"aim_ms":600,"repeat":"safe"`)
		f := NewFleet(t, s, 112)
		defer f.Stop()
		told := make(chan string, 64)
		f.Log = func(e event.Entry) {
			if strings.Contains(e.Text, "doubts") || e.Number == event.WorkerHealthy.Number {
				select {
				case told <- e.Node + " " + e.Name + " " + e.Text:
				default:
				}
			}
		}
		f.Start()
		wait := f.Load([]standin.Line{{Method: "GET", URI: "/a", Service: "s", Rate: 500, Safe: true}}, 30*time.Second)
		Wait(5 * time.Second)
		ill := f.Nodes[0].Worker
		runs := func(long time.Duration) float64 {
			mine, all := 0, 0
			count := func(sign int) {
				for _, n := range f.Nodes {
					all += sign * n.Worker.Runs()
				}
				mine += sign * ill.Runs()
			}
			count(-1)
			Wait(long)
			count(1)
			return float64(mine) / float64(all) * float64(len(f.Nodes))
		}
		before := runs(4 * time.Second)
		ill.Behave(standin.Way{Took: 5 * time.Millisecond, Fail: 0.5})
		Wait(time.Second)
		sick := runs(5 * time.Second)
		ill.Behave(standin.Way{Took: 100 * time.Millisecond})
		Wait(7 * time.Second)
		after := runs(6 * time.Second)
		t.Logf("of an even part: %.2f before, %.2f from a second after it began to fail, %.2f from 7 s after its end", before, sick, after)
		for len(told) > 0 {
			t.Log(<-told)
		}
		if sick > 0.35 || after < 0.5 {
			t.Error("the others don't follow its owner's word")
		}
		wait()
		f.Judge()
	})
}
