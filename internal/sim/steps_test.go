package sim

import (
	"fmt"
	"time"

	"puffincrank/internal/standin"
)

// step is one kind of fault that a plan may draw.
type step struct {
	fault string
	core  bool // it affects a control plane machine
	back  bool // machines are restarted at its end
	do    func(d draw)
}

var steps = []step{
	{coreKilled, true, true, func(d draw) {
		c := d.f.Cores[d.IntN(3)]
		d.say("power lost at %s", c.Host)
		d.f.KillCore(c, true)
		Wait(d.ms(500, 2500))
		d.f.BackCore(c)
		d.f.Until(15*time.Second, "the store is back", d.f.coreReady)
	}},
	{coreKilled, true, true, func(d draw) {
		c := d.f.Cores[d.IntN(3)]
		d.say("disk of %s wiped", c.Host)
		d.f.KillCore(c, true)
		c.Disk.Wipe()
		d.f.BackCore(c)
		d.f.Until(15*time.Second, "the wiped store is back", d.f.coreReady)
	}},
	{coreKilled, true, true, func(d draw) { // replaced by an empty machine at a new address
		d.new++
		if d.new > 1 {
			return
		}
		i := d.IntN(3)
		old := d.f.Cores[i]
		d.say("%s lost for good", old.Host)
		d.f.KillCore(old, true)
		fresh := &Core{Host: fmt.Sprint("10.0.0.5", i), Area: old.Area, Disk: NewDisk()}
		d.f.place(i, fresh)
		d.f.BackCore(fresh)
		d.f.Until(30*time.Second, "the new machine replaces the lost one", d.f.coreReady)
	}},
	{coreCut, true, true, func(d draw) {
		c := d.f.Cores[d.IntN(3)]
		one := d.IntN(2) == 0
		d.say("%s cut off, one way %v", c.Host, one)
		if one {
			d.f.oneWay(c, true)
		} else {
			d.f.Net.Isolate(c.Host, true)
		}
		Wait(d.ms(1000, 3000))
		d.f.oneWay(c, false)
		d.f.Net.Isolate(c.Host, false)
	}},
	{coreCut, true, true, func(d draw) { // a whole zone
		area := Areas[d.IntN(3)]
		from := time.Now()
		d.say("zone %s cut off", area)
		d.f.cutArea(area, true)
		Wait(d.ms(500, 4000))
		d.f.cutArea(area, false)
		Wait(1500 * time.Millisecond)
		for _, n := range d.f.Nodes {
			if n.Area == area {
				d.f.Obs.Lost(n.Host+":8000", from, time.Now())
			}
		}
	}},
	{coreFrozen, true, true, func(d draw) {
		c := d.f.Cores[d.IntN(3)]
		what := [][]string{{"store-"}, {"core-"}, {"store-", "core-"}}[d.IntN(3)]
		d.say("%v of %s paused", what, c.Host)
		for _, w := range what {
			d.f.Net.Freeze(w+c.Host, true)
		}
		Wait(d.ms(300, 4000))
		for _, w := range what {
			d.f.Net.Freeze(w+c.Host, false)
		}
	}},
	{diskBad, true, false, func(d draw) {
		c := d.f.Cores[d.IntN(3)]
		if d.IntN(2) == 0 {
			d.say("disk of %s slow", c.Host)
			c.Disk.Slow(d.ms(300, 600))
		} else {
			d.say("disk of %s full", c.Host)
			c.Disk.Room(d.IntN(2000))
		}
		Wait(d.ms(1000, 3000))
		c.Disk.Slow(0)
		c.Disk.Room(-1)
	}},
	{nodeKilled, false, true, func(d draw) {
		var list []*Node
		from := time.Now()
		for range 1 + d.IntN(3) {
			n := d.take()
			defer d.free(n)
			list = append(list, n)
		}
		worker := d.IntN(2) == 0
		long := d.ms(200, 2000)
		// One time in six it lasts so long that the entries of the nodes are retired.
		if d.IntN(6) == 0 {
			long = 13 * time.Second
		}
		d.say("%d nodes killed for %v from %s on, workers %v", len(list), long, list[0].Host, worker)
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
			d.f.Obs.Lost(n.Host+":8000", from, time.Now())
		}
	}},
	{nodeFrozen, false, true, func(d draw) {
		n := d.take()
		defer d.free(n)
		from := time.Now()
		leaves := d.IntN(2) == 0
		d.say("%s paused, its worker leaves %v", n.Host, leaves)
		d.f.Net.Freeze("node-"+n.Host, true)
		if leaves {
			d.leaves(n.Worker)
		}
		Wait(d.ms(300, 4000))
		d.f.Net.Freeze("node-"+n.Host, false)
		Wait(time.Second)
		d.f.Obs.Lost(n.Host+":8000", from, time.Now())
		if leaves {
			d.renew(n)
		}
	}},
	{nodeCut, false, true, func(d draw) {
		n := d.take()
		defer d.free(n)
		from := time.Now()
		how := d.IntN(4)
		d.say("%s cut off, way %d", n.Host, how)
		for _, o := range d.f.hosts() {
			if o != n.Host && how != 3 {
				d.f.Net.Cut(n.Host, o, how != 1)
				d.f.Net.Cut(o, n.Host, how != 2)
			}
		}
		if how == 3 {
			d.f.Net.Lag(n.Host, d.ms(200, 1500))
		}
		Wait(d.ms(500, 4000))
		d.f.Net.Lag(n.Host, 0)
		d.f.Net.Isolate(n.Host, false)
		Wait(1500 * time.Millisecond)
		d.f.Obs.Lost(n.Host+":8000", from, time.Now())
	}},
	{workerDies, false, false, func(d draw) {
		n := d.take()
		defer d.free(n)
		d.say("worker at %s replaced", n.Host)
		d.f.KillWorker(n)
		if d.IntN(2) == 0 {
			d.f.StartStranger(n, d.service())
		} else {
			d.f.StartWorker(n, d.service())
		}
		Wait(d.ms(500, 1500))
	}},
	{workerBad, false, false, func(d draw) {
		n := d.take()
		defer d.free(n)
		took := d.f.S.Took[n.Worker.Service]
		w := standin.Way{Took: took, Garble: d.Float64() / 2, Lose: d.Float64() / 2, Busy: d.Float64() / 2, Sulk: d.Float64() / 4}
		if d.IntN(3) == 0 {
			w = standin.Way{Took: 5 * took}
		}
		d.say("worker at %s behaves %+v", n.Host, w)
		n.Worker.Behave(w)
		Wait(2 * time.Second)
		n.Worker.Behave(standin.Way{Took: took})
	}},
	{clocksJump, false, false, func(d draw) {
		n := d.take()
		defer d.free(n)
		by := time.Duration(d.IntN(20)-10) * time.Hour
		d.say("clocks jump by %v", by)
		n.Skew(by)
		d.f.cores()[d.IntN(3)].Skew(-by)
		Wait(d.ms(300, 1500))
	}},
	{changesRace, false, false, func(d draw) { d.change() }},
	{changesRace, false, false, func(d draw) { d.propose() }},
	{plannedStops, false, true, func(d draw) { // a node
		n := d.take()
		defer d.free(n)
		d.say("%s restarted gracefully", n.Host)
		from := time.Now()
		n.Proxy.Stop()
		d.f.StartProxy(n)
		d.f.Until(10*time.Second, "the restarted node is ready", n.Proxy.Ready)
		d.f.Obs.Lost(n.Host+":8000", from, time.Now())
	}},
	{plannedStops, false, false, draw.shift},
	{plannedStops, true, true, func(d draw) {
		c := d.f.Cores[d.IntN(3)]
		d.say("%s restarted gracefully", c.Host)
		c.Registry.Stop()
		c.Store.Stop()
		d.f.BackCore(c)
		d.f.Until(15*time.Second, "the restarted control plane machine is ready", func() bool { return c.Registry.Ready() && d.f.coreReady() })
	}},
}
