package sim

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestKeptWorkers: every process of the mesh is killed at once while the workers
// run on, and beat only now and then. The core's disks remember them, so that
// jobs are served again as soon as there is a core, and those that come to a node
// or to an owner in between wait for that.
func TestKeptWorkers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := deploy(9, 9, 12, time.Millisecond, time.Millisecond, []string{"top"}, []int{9}, []row{
			{kind: "look", repeat: "safe", service: "top", rate: 300, work: 40, aim: 300, left: 1500, back: 200, method: "GET"},
		}, 1)
		s := newSite(t, d, 9)
		var back time.Time
		bad := s.day(24*time.Second, func() {
			Wait(10 * time.Second)
			s.wit.Closing()
			for _, c := range s.cores() {
				s.killCore(c, false)
			}
			ends := []func(){}
			for _, m := range s.all() {
				ends = append(ends, s.wit.Touch.Begin(m.name, "killed with all others"))
				s.KillNode(m.Node)
			}
			Wait(500 * time.Millisecond)
			back = time.Now()
			for i, m := range s.all() {
				s.boot(m)
				ends[i]()
			}
			for _, c := range s.cores() {
				s.startCore(c, false)
			}
			s.wit.Back()
		})
		if len(bad) > 0 {
			t.Errorf("broken: %v", bad)
		}
		for i := range 4 {
			from := back.Add(time.Duration(i) * 250 * time.Millisecond)
			served, owed := s.wit.Served("", from, from.Add(250*time.Millisecond))
			t.Logf("%d of %d served of those sent from %v on", served, owed, from.Sub(back))
			if owed == 0 || served*100 < owed*95 {
				t.Errorf("%d of %d served of those sent from %v after the start on", served, owed, from.Sub(back))
			}
		}
	})
}

// TestKeptLong: a core machine is away for longer than graves are kept, and all
// nodes have been started anew meanwhile, so nobody remembers any entry of its
// file. What it takes back is not there for longer than a return may take.
func TestKeptLong(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 141)
		defer f.Stop()
		f.Start()
		c, p := f.Cores[0], f.Nodes[0].Proxy.Settings
		Wait(p.RepairInterval() * 2)
		f.KillCore(c, false)
		for _, n := range f.Nodes {
			f.KillNode(n)
			f.StartProxy(n)
		}
		f.Until(15*time.Second, "all is whole without it", f.Whole)
		Wait(p.TombstoneTTL() * 3 / 2)
		f.BackCore(c)
		Wait(p.RecoveryBound * 3 / 2)
		if !f.Whole() {
			for _, n := range f.Nodes {
				_, own := f.Get(n.Host+":7003", "/puffin/own")
				t.Errorf("%s knows %v entries of %d workers", n.Host, own["entries"], f.workers())
			}
		}
	})
}

// TestKeptAtOnce: the file of a control node holds a change of the registry
// within four beats, so that a worker that is drained is not taken back as it was.
func TestKeptAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 142)
		defer f.Stop()
		f.Start()
		c, p := f.Cores[0], f.Nodes[0].Proxy.Settings
		Wait(p.RepairInterval() * 2)
		was, err := c.Disk.Read("workers")
		if err != nil {
			t.Fatal(err)
		}
		if code, out, say := f.ctl(c.Host+":7003", "drain", "node-"+f.Nodes[0].Host); code != 0 {
			t.Fatal(code, out, say)
		}
		Wait(p.HeartbeatInterval() * 4)
		if now, err := c.Disk.Read("workers"); err != nil || string(now) == string(was) {
			t.Errorf("the file is as before the change: %v", err)
		}
	})
}
