package sim

import (
	"fmt"
	"time"

	"puffincrank/internal/standin"
)

// faultStep is one kind of fault that a plan may draw.
type faultStep struct {
	fault               string
	affectsControlPlane bool // it affects a control plane machine
	restarts            bool // machines are restarted at its end
	do                  func(d draw)
}

var faultSteps = []faultStep{
	{coreKilled, true, true, func(d draw) {
		c := d.f.ControlMachines[d.IntN(3)]
		d.record("power lost at %s", c.Host)
		d.f.KillControlMachine(c, true)
		Wait(d.ms(500, 2500))
		d.f.RestartControlMachine(c)
		d.f.Until(15*time.Second, "the store is back", d.f.controlPlaneReady)
	}},
	{coreKilled, true, true, func(d draw) {
		c := d.f.ControlMachines[d.IntN(3)]
		d.record("disk of %s wiped", c.Host)
		d.f.KillControlMachine(c, true)
		c.Disk.Wipe()
		d.f.RestartControlMachine(c)
		d.f.Until(15*time.Second, "the wiped store is back", d.f.controlPlaneReady)
	}},
	{coreKilled, true, true, func(d draw) { // replaced by an empty machine at a new address
		d.replaced++
		if d.replaced > 1 {
			return
		}
		i := d.IntN(3)
		old := d.f.ControlMachines[i]
		d.record("%s lost for good", old.Host)
		d.f.KillControlMachine(old, true)
		fresh := &ControlMachine{Host: fmt.Sprint("10.0.0.5", i), Zone: old.Zone, Disk: NewDisk()}
		d.f.replaceControlMachine(i, fresh)
		d.f.RestartControlMachine(fresh)
		d.f.Until(30*time.Second, "the new machine replaces the lost one", d.f.controlPlaneReady)
	}},
	{coreCut, true, true, func(d draw) {
		c := d.f.ControlMachines[d.IntN(3)]
		one := d.IntN(2) == 0
		d.record("%s cut off, one way %v", c.Host, one)
		if one {
			d.f.cutOutbound(c, true)
		} else {
			d.f.Net.Isolate(c.Host, true)
		}
		Wait(d.ms(1000, 3000))
		d.f.cutOutbound(c, false)
		d.f.Net.Isolate(c.Host, false)
	}},
	{coreCut, true, true, func(d draw) { // a whole zone
		area := Zones[d.IntN(3)]
		from := time.Now()
		d.record("zone %s cut off", area)
		d.f.cutZone(area, true)
		Wait(d.ms(500, 4000))
		d.f.cutZone(area, false)
		Wait(1500 * time.Millisecond)
		for _, n := range d.f.Nodes {
			if n.Zone == area {
				d.f.Observer.Disconnected(n.Host+":8000", from, time.Now())
			}
		}
	}},
	{coreFrozen, true, true, func(d draw) {
		c := d.f.ControlMachines[d.IntN(3)]
		what := [][]string{{"store-"}, {"core-"}, {"store-", "core-"}}[d.IntN(3)]
		d.record("%v of %s paused", what, c.Host)
		for _, w := range what {
			d.f.Net.PauseProcess(w+c.Host, true)
		}
		Wait(d.ms(300, 4000))
		for _, w := range what {
			d.f.Net.PauseProcess(w+c.Host, false)
		}
	}},
	{diskBad, true, false, func(d draw) {
		c := d.f.ControlMachines[d.IntN(3)]
		if d.IntN(2) == 0 {
			d.record("disk of %s slow", c.Host)
			c.Disk.SetSyncDelay(d.ms(300, 600))
		} else {
			d.record("disk of %s full", c.Host)
			c.Disk.LimitFreeBytes(d.IntN(2000))
		}
		Wait(d.ms(1000, 3000))
		c.Disk.SetSyncDelay(0)
		c.Disk.LimitFreeBytes(-1)
	}},
	{nodeKilled, false, true, func(d draw) {
		var list []*Node
		from := time.Now()
		for range 1 + d.IntN(3) {
			n := d.take()
			defer d.release(n)
			list = append(list, n)
		}
		worker := d.IntN(2) == 0
		long := d.ms(200, 2000)
		// One time in six it lasts so long that the entries of the nodes are retired.
		if d.IntN(6) == 0 {
			long = 13 * time.Second
		}
		d.record("%d nodes killed for %v from %s on, workers %v", len(list), long, list[0].Host, worker)
		for _, n := range list {
			if worker {
				d.f.KillWorker(n)
			}
			d.f.KillNode(n)
		}
		Wait(long)
		for _, n := range list {
			d.f.StartProxy(n)
			if worker {
				d.f.StartWorker(n, d.service())
			}
		}
		for _, n := range list {
			d.f.Until(12*time.Second, "the node is ready", n.Proxy.Ready)
			d.f.Observer.Disconnected(n.Host+":8000", from, time.Now())
		}
	}},
	{nodeFrozen, false, true, func(d draw) {
		n := d.take()
		defer d.release(n)
		from := time.Now()
		leaves := d.IntN(2) == 0
		d.record("%s paused, its worker leaves %v", n.Host, leaves)
		d.f.Net.PauseProcess("node-"+n.Host, true)
		if leaves {
			d.announceLeave(n.Worker)
		}
		Wait(d.ms(300, 4000))
		d.f.Net.PauseProcess("node-"+n.Host, false)
		Wait(time.Second)
		d.f.Observer.Disconnected(n.Host+":8000", from, time.Now())
		if leaves {
			d.replaceWorker(n)
		}
	}},
	{nodeCut, false, true, func(d draw) {
		n := d.take()
		defer d.release(n)
		from := time.Now()
		how := d.IntN(4)
		d.record("%s cut off, way %d", n.Host, how)
		for _, o := range d.f.hosts() {
			if o != n.Host && how != 3 {
				d.f.Net.Cut(n.Host, o, how != 1)
				d.f.Net.Cut(o, n.Host, how != 2)
			}
		}
		if how == 3 {
			d.f.Net.SetExtraDelay(n.Host, d.ms(200, 1500))
		}
		Wait(d.ms(500, 4000))
		d.f.Net.SetExtraDelay(n.Host, 0)
		d.f.Net.Isolate(n.Host, false)
		Wait(1500 * time.Millisecond)
		d.f.Observer.Disconnected(n.Host+":8000", from, time.Now())
	}},
	{workerDies, false, false, func(d draw) {
		n := d.take()
		defer d.release(n)
		d.record("worker at %s replaced", n.Host)
		d.f.KillWorker(n)
		if d.IntN(2) == 0 {
			d.f.StartUncheckedWorker(n, d.service())
		} else {
			d.f.StartWorker(n, d.service())
		}
		Wait(d.ms(500, 1500))
	}},
	{workerBad, false, false, func(d draw) {
		n := d.take()
		defer d.release(n)
		took := d.f.Shape.ServiceTimes[n.Worker.Service]
		w := standin.WorkerBehavior{Took: took, Garble: d.Float64() / 2, Lose: d.Float64() / 2, Busy: d.Float64() / 2, Sulk: d.Float64() / 4}
		if d.IntN(3) == 0 {
			w = standin.WorkerBehavior{Took: 5 * took}
		}
		d.record("worker at %s behaves %+v", n.Host, w)
		n.Worker.SetBehavior(w)
		Wait(2 * time.Second)
		n.Worker.SetBehavior(standin.WorkerBehavior{Took: took})
	}},
	{clocksJump, false, false, func(d draw) {
		n := d.take()
		defer d.release(n)
		by := time.Duration(d.IntN(20)-10) * time.Hour
		d.record("clocks jump by %v", by)
		n.Skew(by)
		d.f.controlMachines()[d.IntN(3)].Skew(-by)
		Wait(d.ms(300, 1500))
	}},
	{changesRace, false, false, func(d draw) { d.raceConfigChanges() }},
	{changesRace, false, false, func(d draw) { d.proposeTrial() }},
	{plannedStops, false, true, func(d draw) { // a node
		n := d.take()
		defer d.release(n)
		d.record("%s restarted gracefully", n.Host)
		from := time.Now()
		n.Proxy.Stop()
		d.f.StartProxy(n)
		d.f.Until(10*time.Second, "the restarted node is ready", n.Proxy.Ready)
		d.f.Observer.Disconnected(n.Host+":8000", from, time.Now())
	}},
	{plannedStops, false, false, draw.rollWorker},
	{plannedStops, true, true, func(d draw) {
		c := d.f.ControlMachines[d.IntN(3)]
		d.record("%s restarted gracefully", c.Host)
		c.Registry.Stop()
		c.Store.Stop()
		d.f.RestartControlMachine(c)
		d.f.Until(15*time.Second, "the restarted control plane machine is ready", func() bool { return c.Registry.Ready() && d.f.controlPlaneReady() })
	}},
}
