package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// TestOwnerSuspicionSpreads: a worker that fails half of its jobs at once, among 36 nodes that
// each see a job of it in a second or so. Its owner sees all, so all keep away
// within a second, and come back when it is well.
func TestOwnerSuspicionSpreads(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		shape := one()
		shape.Nodes = 36
		shape.Doc = strings.ReplaceAll(shape.Doc, `"aim_ms":600`, `"aim_ms":600,"repeat":"safe"`)
		fleet := NewFleet(t, shape, 112)
		defer fleet.Stop()
		messages := make(chan string, 64)
		fleet.Log = func(entry event.Entry) {
			if strings.Contains(entry.Text, "doubts") || entry.Number == event.WorkerHealthy.Number {
				select {
				case messages <- entry.Node + " " + entry.Name + " " + entry.Text:
				default:
				}
			}
		}
		fleet.Start()
		waitForLoad := fleet.Load([]standin.Line{{Method: "GET", URI: "/a", Service: "s", Rate: 500, Safe: true}}, 30*time.Second)
		Wait(5 * time.Second)
		faulty := fleet.Nodes[0].Worker
		shareOfRuns := func(duration time.Duration) float64 {
			faultyRuns, allRuns := 0, 0
			count := func(sign int) {
				for _, n := range fleet.Nodes {
					allRuns += sign * n.Worker.Runs()
				}
				faultyRuns += sign * faulty.Runs()
			}
			count(-1)
			Wait(duration)
			count(1)
			return float64(faultyRuns) / float64(allRuns) * float64(len(fleet.Nodes))
		}
		before := shareOfRuns(4 * time.Second)
		faulty.Behave(standin.Way{Took: 5 * time.Millisecond, Fail: 0.5})
		Wait(time.Second)
		during := shareOfRuns(5 * time.Second)
		faulty.Behave(standin.Way{Took: 100 * time.Millisecond})
		Wait(7 * time.Second)
		after := shareOfRuns(6 * time.Second)
		t.Logf("of an even part: %.2f before, %.2f from a second after it began to fail, %.2f from 7 s after its end", before, during, after)
		for len(messages) > 0 {
			t.Log(<-messages)
		}
		if during > 0.35 || after < 0.5 {
			t.Error("the others don't follow its owner's word")
		}
		waitForLoad()
		fleet.Judge()
	})
}
