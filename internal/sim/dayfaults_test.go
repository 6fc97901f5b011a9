package sim

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

var troubles = []trouble{
	{"release", none, func(a act) {
		// Rolling release: replaces workers of a service one after the other.
		service := a.d.services[a.IntN(len(a.d.services))]
		for range 3 {
			m := a.take(func(m *machine) bool { return m.service == service })
			if m == nil {
				return
			}
			a.say("%s is replaced by a release", m.name)
			a.add(m.Area, service, "")
			Wait(a.ms(1500, 1500))
			m.w.Leave(context.Background())
			a.retire(m)
		}
	}},
	{"reuse", none, func(a act) {
		m := a.take(a.enough)
		if m == nil {
			return
		}
		a.say("%s ends, and its address passes to another service", m.name)
		if a.IntN(2) == 0 {
			m.w.Leave(context.Background())
		} else {
			m.w.Kill()
		}
		a.retire(m)
		Wait(2 * time.Second)
		a.add(m.Area, a.d.services[a.IntN(len(a.d.services))], m.addr)
	}},
	{"scale in", none, func(a act) {
		if m := a.take(a.enough); m != nil {
			a.say("%s is drained and removed", m.name)
			m.w.Leave(context.Background())
			a.retire(m)
		}
	}},
	{"crash", none, func(a act) {
		m := a.take(nil)
		if m == nil {
			return
		}
		defer a.free(m)
		a.say("worker of %s crashes", m.name)
		m.w.Kill()
		Wait(a.ms(300, 1500))
		a.startWorker(m)
	}},
	{"ill", none, func(a act) {
		ills := actors.Ills{}
		switch a.IntN(4) {
		case 0:
			ills.Lose = 0.2 + 0.7*a.Float64()
		case 1:
			ills.Spoil = 0.2 + 0.7*a.Float64()
		case 2:
			ills.Slow = 4 + 8*a.Float64()
		case 3:
			ills.Fail, ills.Lose, ills.Spoil = 0.2, 0.1, 0.1
		}
		// One or two workers, or all of a service.
		service, n := "", 1+a.IntN(2)
		if a.IntN(3) == 0 {
			service, n = a.d.services[a.IntN(len(a.d.services))], len(a.all())
		}
		var affected []*machine
		for range n {
			if m := a.take(func(m *machine) bool { return service == "" || m.service == service }); m != nil {
				a.say("worker of %s is faulty: %+v", m.name, ills)
				m.w.Fall(ills)
				affected = append(affected, m)
				defer a.free(m)
			}
		}
		Wait(a.ms(4000, 5000))
		for _, m := range affected {
			m.w.Fall(actors.Ills{})
		}
	}},
	{"callers leave", none, func(a act) {
		part := 0.2 + 0.5*a.Float64()
		a.say("%.0f in 100 callers disconnect early", 100*part)
		for _, m := range a.all() {
			m.c.Quits(part)
		}
		Wait(a.ms(3000, 6000))
		for _, m := range a.all() {
			m.c.Quits(0.02)
		}
	}},
	{"node kill", none, func(a act) {
		if m := a.take(nil); m != nil {
			a.say("node of %s killed", m.name)
			a.killAndRestart(m)
			a.free(m)
		}
	}},
	{"node power", none, func(a act) {
		if m := a.take(nil); m != nil {
			a.say("%s loses power", m.name)
			a.out(m)
			a.free(m)
		}
	}},
	{"herd kill", whole, func(a act) {
		affected := a.some(0.2 + 0.3*a.Float64())
		a.say("%d nodes killed at once", len(affected))
		var pending sync.WaitGroup
		for _, m := range affected {
			pending.Add(1)
			a.g.Go("herd", func(context.Context) { defer pending.Done(); a.killAndRestart(m); a.free(m) })
		}
		if a.IntN(2) == 0 {
			a.say("and all core hosts")
			for _, c := range a.cores() {
				a.killCore(c, false)
			}
			Wait(a.ms(300, 600))
			for _, c := range a.cores() {
				a.startCore(c, false)
			}
		}
		pending.Wait()
	}},
	{"node freeze", none, func(a act) {
		m := a.take(nil)
		if m == nil {
			return
		}
		defer a.free(m)
		defer a.wit.Touch.Begin(m.name, "frozen")()
		duration := a.ms(500, 5000)
		a.say("node of %s paused for %v", m.name, duration)
		a.Net.Freeze("node-"+m.Host, true)
		Wait(duration)
		a.Net.Freeze("node-"+m.Host, false)
	}},
	{"node cut", none, func(a act) {
		m := a.take(nil)
		if m == nil {
			return
		}
		defer a.free(m)
		defer a.wit.Touch.Begin(m.name, "cut")()
		duration := a.ms(1000, 6000)
		a.say("%s cut off for %v", m.name, duration)
		a.cutOff(m, true)
		Wait(duration)
		a.cutOff(m, false)
	}},
	{"node slow", none, func(a act) {
		m := a.take(nil)
		if m == nil {
			return
		}
		defer a.free(m)
		defer a.wit.Touch.Begin(m.name, checker.Slowed)()
		delay := a.ms(10, 300)
		a.say("network delay of %s rises by %v", m.name, delay)
		a.Net.Lag(m.Host, delay)
		Wait(a.ms(2000, 5000))
		a.Net.Lag(m.Host, 0)
	}},
	{"node clock", none, func(a act) {
		m := a.take(nil)
		if m == nil {
			return
		}
		defer a.free(m)
		jump := time.Duration(a.IntN(20001)-10000) * time.Millisecond
		a.say("wall clock of %s jumps by %v", m.name, jump)
		a.wit.Touch.Begin(m.name, "clock")()
		m.Skew(jump)
		Wait(a.ms(2000, 6000))
		m.Skew(0)
		a.wit.Touch.Begin(m.name, "clock")()
	}},
	{"node roll", none, func(a act) {
		for range 2 + a.IntN(3) {
			m := a.take(nil)
			if m == nil {
				return
			}
			a.say("node of %s restarted gracefully", m.name)
			end := a.wit.Touch.Begin(m.name, checker.Planned+"roll")
			a.stopNode(m)
			Wait(a.ms(100, 400))
			a.boot(m)
			end()
			a.free(m)
			Wait(a.ms(300, 1000))
		}
	}},
	{"press", none, func(a act) {
		percent := int64(150 + a.IntN(250))
		a.say("load is %d percent", percent)
		a.site.press.Store(percent)
		Wait(a.ms(4000, 5000))
		a.site.press.Store(100)
	}},
}
