package sim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"puffincrank/internal/standin/actors"
)

// crowd is the factor by which the load of a kind of request in a zone is multiplied.
func (s *site) crowd(zone, kind string) float64 {
	s.smu.Lock()
	defer s.smu.Unlock()
	factor := 1.0
	for _, key := range [][2]string{{"", ""}, {zone, ""}, {"", kind}} {
		if value := s.crowds[key]; value > 0 {
			factor *= value
		}
	}
	return factor
}

// degradeWorkers makes a fraction of the workers faulty for 4 to 8 seconds and waits
// meanwhile.
func (a act) degradeWorkers(fraction float64, ills actors.Ills, description string) {
	workers := a.some(fraction)
	for _, m := range workers {
		a.say("worker of %s: %s", m.name, description)
		m.w.Fall(ills)
		defer a.free(m)
	}
	Wait(a.ms(4000, 4000))
	for _, m := range workers {
		m.w.Fall(actors.Ills{})
	}
}

// zoneFilter returns a predicate that holds for callers of one random zone, and the
// zone's name.
func (a act) zoneFilter() (func(host string) bool, string) {
	zone := Areas[a.IntN(len(Areas))]
	return func(host string) bool {
		a.Net.mu.Lock()
		defer a.Net.mu.Unlock()
		return a.Net.areas[host] == zone
	}, zone
}

// grownTroubles are the faults that the grown deployments added.
var grownTroubles = []trouble{
	{"crowd", none, func(a act) {
		key := [][2]string{{}, {Areas[a.IntN(len(Areas))], ""}, {"", a.d.lines[a.IntN(len(a.d.lines))].Kind}}[a.IntN(3)]
		factor := 1.5 + 2.5*a.Float64()
		a.say("load surge for %q: %.1f times the load", key, factor)
		a.smu.Lock()
		a.crowds[key] = factor
		a.smu.Unlock()
		Wait(a.ms(2000, 3000))
		a.smu.Lock()
		delete(a.crowds, key)
		a.smu.Unlock()
	}},
	{"grey", none, func(a act) {
		// The workers fail a part of their requests while their health checks succeed.
		x := 0.25 + 0.4*a.Float64()
		ills := []actors.Ills{{Fail: x}, {Shed: x}, {Tear: x}, {Hang: x / 2}, {Lose: x}, {Slow: 4 + 6*a.Float64()}}[a.IntN(6)]
		description := fmt.Sprintf("grey %+v", ills)
		if a.IntN(3) == 0 {
			var zone string
			ills.Only, zone = a.zoneFilter()
			description += " for callers of " + zone
		}
		a.degradeWorkers(0.08+0.1*a.Float64(), ills, description)
	}},
	{"false fitness", none, func(a act) {
		// The health check succeeds while every request fails, or fails while every
		// request succeeds.
		ills := []actors.Ills{{Fail: 1}, {Tear: 1}, {Hang: 1}, {Sick: true}}[a.IntN(4)]
		description := fmt.Sprintf("false fitness %+v", ills)
		if a.IntN(3) == 0 {
			var zone string
			ills.Only, zone = a.zoneFilter()
			description += " for callers of " + zone
		}
		a.degradeWorkers(0.1, ills, description)
	}},
	{"idle race", none, func(a act) {
		rest := a.ms(150, 500)
		a.degradeWorkers(0.4+0.2*a.Float64(), actors.Ills{Forget: rest}, fmt.Sprintf("drops connections that were idle for %v", rest))
	}},
	{"flap", none, func(a act) {
		var running sync.WaitGroup
		gap, end := a.ms(500, 1200), time.Now().Add(a.ms(4000, 3000))
		for _, m := range a.some(0.08) {
			a.say("worker of %s stops and starts every %v", m.name, gap)
			running.Add(1)
			a.g.Go("flap", func(context.Context) {
				defer running.Done()
				defer a.free(m)
				for time.Now().Before(end) {
					m.w.Kill()
					Wait(gap)
					a.startWorker(m)
					Wait(gap)
				}
			})
		}
		running.Wait()
	}},
	{"gone for good", none, func(a act) {
		// Either the worker alone is lost and its node stays, or both lose power.
		for range 1 + len(a.all())/16 {
			m := a.take(a.enough)
			if m == nil {
				return
			}
			if a.IntN(2) == 0 {
				a.say("worker of %s is lost for good", m.name)
				m.w.Kill()
				continue
			}
			a.say("%s is lost for good", m.name)
			a.wit.Touch.Begin(m.name, "lost")
			a.powered(m.Host, false)
			m.w.Kill()
			a.KillNode(m.Node)
			m.gone.Store(true)
			m.c.Out.Store(true)
		}
	}},
	{"resets", none, func(a act) {
		fraction := 0.3 + 0.5*a.Float64()
		var hosts []string
		for _, m := range a.some(0.1 + 0.2*a.Float64()) {
			defer a.wit.Touch.Begin(m.name, "reset")()
			defer a.free(m)
			hosts = append(hosts, m.Host)
		}
		if a.IntN(3) == 0 {
			hosts = append(hosts, a.cores()[a.IntN(len(a.cores()))].Host)
			a.wit.Touch.Core("reset")
		}
		a.say("%.2f of the connections of %v are reset", fraction, hosts)
		for _, h := range hosts {
			a.Net.Reset(h, fraction)
		}
		Wait(100 * time.Millisecond)
	}},
	{"core pair", whole, func(a act) {
		// Loses as many control-plane machines at once as the site tolerates, with or
		// without their disks.
		power, wiped := a.IntN(2) == 0, a.IntN(3)
		var lost []*Core
		for i := range a.d.bear {
			core := a.one()
			a.say("control-plane machine %s lost with %d others (power %v, wiped %v)", core.Host, a.d.bear-1, power, i < wiped)
			a.killCore(core, power || i < wiped)
			if i < wiped {
				core.Disk.Wipe()
			}
			lost = append(lost, core)
		}
		Wait(a.ms(500, 4000))
		for _, core := range lost {
			a.startCore(core, false)
			Wait(a.ms(0, 800))
		}
		Wait(6 * time.Second)
	}},
}
