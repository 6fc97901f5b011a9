package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWorkersKeptAcrossMeshKill: every process of the mesh is killed at once while the
// workers keep running and send heartbeats only now and then. The control plane
// restores the workers from its disks, so that requests are served as soon as it is up;
// requests that reach an ingress or an owner before then wait.
func TestWorkersKeptAcrossMeshKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := deploy(9, 9, 12, time.Millisecond, time.Millisecond, []string{"top"}, []int{9}, []routeRow{
			{kind: "look", repeat: "safe", service: "top", rate: 300, work: 40, aim: 300, left: 1500, back: 200, method: "GET"},
		}, 1)
		s := newSite(t, d, 9)
		var restarted time.Time
		violations := s.runDay(24*time.Second, func() {
			Wait(10 * time.Second)
			s.recorder.FinalFaultStarted()
			for _, c := range s.controlMachines() {
				s.killCore(c, false)
			}
			endTouch := []func(){}
			for _, m := range s.all() {
				endTouch = append(endTouch, s.recorder.Faults.Begin(m.name, "killed with all others"))
				s.KillNode(m.Node)
			}
			Wait(500 * time.Millisecond)
			restarted = time.Now()
			for i, m := range s.all() {
				s.startNode(m)
				endTouch[i]()
			}
			for _, c := range s.controlMachines() {
				s.startCore(c, false)
			}
			s.recorder.FinalFaultEnded()
		})
		if len(violations) > 0 {
			t.Errorf("rules broken: %v", violations)
		}
		for i := range 4 {
			start := restarted.Add(time.Duration(i) * 250 * time.Millisecond)
			served, expected := s.recorder.Served("", start, start.Add(250*time.Millisecond))
			t.Logf("%d of %d served of the requests sent from %v on", served, expected, start.Sub(restarted))
			if expected == 0 || served*100 < expected*95 {
				t.Errorf("%d of %d served of the requests sent from %v after the restart on", served, expected, start.Sub(restarted))
			}
		}
	})
}

// TestReturnAfterTombstoneTTL: a control-plane machine is away for longer than
// tombstones are kept, and all nodes are restarted meanwhile, so that nobody remembers
// any entry of its file. The entries it restores are gone again within the recovery
// bound.
func TestReturnAfterTombstoneTTL(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 141)
		defer f.Stop()
		f.Start()
		c, settings := f.ControlMachines[0], f.Nodes[0].Proxy.Settings
		Wait(settings.RepairInterval() * 2)
		f.KillControlMachine(c, false)
		for _, n := range f.Nodes {
			f.KillNode(n)
			f.StartProxy(n)
		}
		f.Until(15*time.Second, "the registry is complete without it", f.Converged)
		Wait(settings.TombstoneTTL() * 3 / 2)
		f.RestartControlMachine(c)
		Wait(settings.RecoveryBound * 3 / 2)
		if !f.Converged() {
			for _, n := range f.Nodes {
				_, own := f.Get(n.Host+":7003", "/puffin/own")
				t.Errorf("%s knows %v entries of %d workers", n.Host, own["entries"], f.workers())
			}
		}
	})
}

// TestRegistryFileFollowsChange: the file of a control node contains a change of the
// registry within four heartbeats, so that a drained worker is not restored in its
// former state.
func TestRegistryFileFollowsChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 142)
		defer f.Stop()
		f.Start()
		c, settings := f.ControlMachines[0], f.Nodes[0].Proxy.Settings
		Wait(settings.RepairInterval() * 2)
		before, err := c.Disk.Read("workers")
		if err != nil {
			t.Fatal(err)
		}
		if code, stdout, stderr := f.runCtl(c.Host+":7003", "drain", "node-"+f.Nodes[0].Host); code != 0 {
			t.Fatal(code, stdout, stderr)
		}
		Wait(settings.HeartbeatInterval() * 4)
		if after, err := c.Disk.Read("workers"); err != nil || string(after) == string(before) {
			t.Errorf("the file is unchanged: %v", err)
		}
	})
}
