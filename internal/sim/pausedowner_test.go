package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestPausedOwner pauses the process of an owner while its worker announces that it is
// leaving. The owner resumes with both requests and that message unread in its sockets,
// in an order that differs by round, and must not deliver requests to the worker that
// left.
func TestPausedOwner(t *testing.T) {
	skipUnderRace(t)
	for round := range 3 {
		t.Run(fmt.Sprint("round ", round), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				shape := Fumettoteca(0.4)
				shape.Nodes = 6
				fleet := NewFleet(t, shape, uint64(round)+300)
				defer fleet.Stop()
				fleet.Start()
				waitForLoad := fleet.Load(shape.Lines, 14*time.Second)
				Wait(2 * time.Second)
				for i := range 3 {
					node := fleet.Nodes[i]
					start := time.Now()
					fleet.Net.PauseProcess("node-"+node.Host, true)
					Wait(time.Duration(50+100*round) * time.Millisecond)
					// The message arrives in the socket of a paused process.
					go node.Worker.Leave("draining")
					Wait(2200 * time.Millisecond)
					fleet.sendRequests(node, 20)
					before := node.Worker.Ran()
					fleet.Net.PauseProcess("node-"+node.Host, false)
					Wait(700 * time.Millisecond)
					t.Logf("%d requests reached the worker after the owner resumed", node.Worker.Ran()-before)
					fleet.Observer.Disconnected(node.Host+":8000", start, time.Now())
				}
				waitForLoad()
				fleet.CheckInvariants()
			})
		})
	}
}

// sendRequests sends requests to a node as the ingress, so that a paused node resumes with
// them unread.
func (f *Fleet) sendRequests(node *Node, count int) {
	line := f.Shape.Lines[0]
	for _, l := range f.Shape.Lines {
		if l.Service == node.Worker.Service {
			line = l
		}
	}
	callers := standin.NewCallers(f.env("aim", "10.0.9.6", "outside", &node.skew), []string{node.Host + ":8000"}, f.Observer, 15*time.Second)
	callers.Name = "aim-" + node.Host + "-"
	for range count {
		go callers.CallAt(node.Host+":8000", line)
	}
	Wait(5 * time.Millisecond)
}

// TestPassedAddress kills a worker and gives its address to a worker of another service
// that doesn't check which service a request is for, while all nodes still hold the old
// registration and old connections. No request for the old service may reach it.
func TestPassedAddress(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		shape := Fumettoteca(0.5)
		fleet := NewFleet(t, shape, 310)
		defer fleet.Stop()
		fleet.Start()
		waitForLoad := fleet.Load(shape.Lines, 12*time.Second)
		for i := range 6 {
			Wait(1500 * time.Millisecond)
			node := fleet.Nodes[i]
			// The new worker's first heartbeat is delayed, so that its node still
			// trusts the old worker's registration.
			fleet.Net.Cut(node.Host+"w", node.Host, true)
			fleet.KillWorker(node)
			fleet.StartUncheckedWorker(node, shape.ServiceOf(i+1))
			Wait(300 * time.Millisecond)
			fleet.Net.Cut(node.Host+"w", node.Host, false)
		}
		waitForLoad()
		fleet.CheckInvariants()
		if counts := fleet.Observer.Counts(); counts["done"] < counts["calls"]*9/10 || counts["calls"] < 2000 {
			t.Errorf("too few requests succeeded: %v", counts)
		}
	})
}
