package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// replicasEqual reports whether the replicas of all running nodes have the same digest.
func (f *Fleet) replicasEqual() bool {
	code, got := f.Get(f.ControlMachines[1].Host+":7003", "/puffin/status")
	if code != 200 {
		return false
	}
	digests := map[any]int{}
	for _, kind := range []string{"proxies", "registries"} {
		list, _ := got[kind].([]any)
		for _, entry := range list {
			fields, _ := entry.(map[string]any)
			digests[fields["digest"]]++
		}
	}
	return len(digests) == 1
}

// TestNodeFaults: nodes are killed singly and many at once, isolated and reconnected,
// and have clocks that jump by hours. Entries of dead nodes are retired, live ones
// return without intervention, all replicas become equal again, and no request runs at
// a place or a time at which it must not.
func TestNodeFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Fumettoteca(0.15)
		f := NewFleet(t, s, 40)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 75*time.Second)
		start := time.Now()
		// First the clocks of two nodes and a control-plane machine jump by hours, in
		// both directions.
		f.Nodes[0].Skew(-5 * time.Hour)
		f.Nodes[1].Skew(7 * time.Hour)
		f.ControlMachines[0].Skew(3 * time.Hour)
		Wait(time.Second)
		// Half of the nodes are killed at once, together with their workers.
		for _, n := range f.Nodes[:6] {
			f.KillWorker(n)
			f.KillNode(n)
		}
		took := f.Until(20*time.Second, "entries of the dead are retired", func() bool {
			_, own := f.Get(f.Nodes[7].Host+":7003", "/puffin/own")
			return own["entries"] == float64(6)
		})
		t.Logf("entries of 6 dead nodes retired in %v", took.Round(time.Millisecond))
		for i, n := range f.Nodes[:6] {
			f.StartProxy(n)
			f.StartWorker(n, s.ServiceOf(i))
			f.Observer.Disconnected(n.Host+":8000", start, time.Now().Add(2*time.Second))
		}
		t.Logf("all nodes know all workers %v after the restart", f.Until(15*time.Second, "all nodes know all workers", f.Converged).Round(time.Millisecond))
		// One node is cut off for longer than the time after which entries are retired,
		// and then reconnected.
		n := f.Nodes[8]
		cutAt := time.Now()
		f.Net.Isolate(n.Host, true)
		f.Until(20*time.Second, "the cut-off node's entry is retired", func() bool {
			_, own := f.Get(f.Nodes[7].Host+":7003", "/puffin/own")
			return own["entries"] == float64(11)
		})
		Wait(5 * time.Second)
		f.Net.Isolate(n.Host, false)
		took = f.Until(15*time.Second, "it is registered again everywhere", f.Converged)
		f.Observer.Disconnected(n.Host+":8000", cutAt, time.Now())
		t.Logf("the cut-off node's worker is known everywhere again after %v", took.Round(time.Millisecond))
		t.Logf("replicas equal %v later", f.Until(15*time.Second, "all replicas are equal", f.replicasEqual).Round(time.Millisecond))
		wait()
		f.CheckInvariants()
	})
}

// TestDrain: a worker that announces its leave gets no new request after the bound, its
// running requests end, and no caller sees an error.
func TestDrain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Ingenzi(0.3)
		f := NewFleet(t, s, 41)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 16*time.Second)
		for i := range 4 {
			n := f.Nodes[i]
			Wait(time.Second)
			n.Worker.Leave("draining")
			Wait(2 * time.Second)
			n.Worker.Leave("gone")
			f.KillWorker(n)
			// Another service's worker takes over the address.
			f.StartWorker(n, s.ServiceOf(i+1))
		}
		wait()
		f.CheckInvariants()
		if n := f.Observer.Counts(); n["done"] != n["calls"] {
			t.Errorf("planned replacements were seen by callers: %v", n)
		}
	})
}

// TestRoll: every process of the fleet is shut down gracefully and restarted under
// load; no answer is cut off and no caller sees an error.
func TestRoll(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Fumettoteca(0.1)
		s.Nodes = 6
		f := NewFleet(t, s, 42)
		f.Log = func(e event.Entry) {
			if testing.Verbose() && (e.Number/100 == 4 || e.Number/100 == 1) && !strings.HasPrefix(e.Node, "node") {
				t.Log(e.Time.Format("05.000"), e.Node, e.Name, e.Text)
			}
		}
		defer f.Stop()
		f.Start()
		f.PollReadiness = true
		wait := f.Load(s.Lines, 50*time.Second)
		apps := f.runCoordination(50 * time.Second)
		for _, n := range f.Nodes {
			Wait(1200 * time.Millisecond)
			start := time.Now()
			n.Proxy.Stop()
			if took := time.Since(start); took > 8*time.Second {
				t.Errorf("a stop took %v", took)
			}
			f.StartProxy(n)
			f.Until(5*time.Second, "the rolled node is ready", func() bool { return n.Proxy.Ready() })
		}
		for _, c := range f.ControlMachines {
			c.Registry.Stop()
			c.Store.Stop()
			f.RestartControlMachine(c)
			f.Until(10*time.Second, "the rolled control-plane machine is ready", func() bool { return c.Registry.Ready() && f.controlPlaneReady() })
		}
		wait()
		f.CheckInvariants()
		coord := apps()
		for _, l := range coord.UnknownOutcomes {
			t.Log(l)
		}
		for outcome, n := range coord.Outcomes {
			// 404 and 409 are regular answers; any other status but 200 is an error.
			if !strings.HasSuffix(outcome, " 200") && !strings.HasSuffix(outcome, " 404") && !strings.HasSuffix(outcome, " 409") {
				t.Errorf("a planned roll was seen by applications: %d × %s", n, outcome)
			}
		}
		if n := f.Observer.Counts(); n["done"] != n["calls"] || n["calls"] < 1000 {
			t.Errorf("a planned roll was seen by callers: %v", n)
		}
	})
}

// TestBadWorkers: some workers garble or lose answers, refuse requests or are slow.
// Every success is a complete answer, nothing runs twice on a route whose requests must
// never be retried, and retries stay within the bound.
func TestBadWorkers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Fumettoteca(0.5)
		f := NewFleet(t, s, 43)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 20*time.Second)
		Wait(2 * time.Second)
		f.Nodes[0].Worker.SetBehavior(standin.WorkerBehavior{Took: 20 * time.Millisecond, Garble: 0.5})
		f.Nodes[4].Worker.SetBehavior(standin.WorkerBehavior{Took: 20 * time.Millisecond, Lose: 0.5})
		f.Nodes[2].Worker.SetBehavior(standin.WorkerBehavior{Took: 20 * time.Millisecond, Busy: 0.5})
		f.Nodes[3].Worker.SetBehavior(standin.WorkerBehavior{Took: 400 * time.Millisecond})
		Wait(10 * time.Second)
		for i, n := range f.Nodes {
			n.Worker.SetBehavior(standin.WorkerBehavior{Took: s.ServiceTimes[s.ServiceOf(i)]})
		}
		wait()
		f.CheckInvariants()
		if n := f.Observer.Counts(); n["unknown"] == 0 || n["done"] < n["calls"]*9/10 {
			t.Errorf("bad workers did too little or too much harm: %v", n)
		}
	})
}
