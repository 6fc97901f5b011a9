package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// TestOwnerSuspicionSpreads has one worker fail half of its requests, while each of 36
// nodes sends it only about one request a second and so can't detect it alone. Its
// owner sees them all, so all nodes must avoid the worker within a second on the
// owner's report, and return when it is healthy.
func TestOwnerSuspicionSpreads(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		shape := singleServiceShape()
		shape.Nodes = 36
		shape.Config = strings.ReplaceAll(shape.Config, `"aim_ms":600`, `"aim_ms":600,"repeat":"safe"`)
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
		waitForLoad := fleet.Load([]standin.CallKind{{Method: "GET", URI: "/a", Service: "s", Rate: 500, Retryable: true}}, 30*time.Second)
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
		faulty.SetBehavior(standin.WorkerBehavior{Took: 5 * time.Millisecond, Fail: 0.5})
		Wait(time.Second)
		during := shareOfRuns(5 * time.Second)
		faulty.SetBehavior(standin.WorkerBehavior{Took: 100 * time.Millisecond})
		Wait(7 * time.Second)
		after := shareOfRuns(6 * time.Second)
		t.Logf("share of an even load: %.2f before, %.2f from 1 s after it began to fail, %.2f from 7 s after it recovered", before, during, after)
		for len(messages) > 0 {
			t.Log(<-messages)
		}
		if during > 0.35 || after < 0.5 {
			t.Error("the other nodes don't follow the owner's health report")
		}
		waitForLoad()
		fleet.CheckInvariants()
	})
}
