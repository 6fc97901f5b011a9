package sim

import (
	"fmt"
	"slices"
	"time"
)

// cutOff cuts a machine off from all others but its own callers.
func (s *site) cutOff(m *machine, on bool) {
	s.apart(m.Host, on, fmt.Sprintf("10.0.8.%d", m.n))
}

// apart cuts a host off from all others but some, or joins it again with all
// that have power.
func (s *site) apart(isolated string, on bool, except ...string) {
	s.Net.mu.Lock()
	var others []string
	for other := range s.Net.areas {
		if other != isolated && !slices.Contains(except, other) {
			others = append(others, other)
		}
	}
	s.Net.mu.Unlock()
	s.Net.Part(isolated, slices.DeleteFunc(others, func(other string) bool { return !on && s.withoutPower(other) }), on)
}

// withoutPower tells whether a host has no power.
func (s *site) withoutPower(host string) bool {
	s.smu.Lock()
	defer s.smu.Unlock()
	return s.dark[host]
}

// one takes a core machine that no other trouble has in hand.
func (a act) one() *Core { return a.takePreferred(nil) }

// takePreferred takes a core machine, the wanted one if it is free.
func (a act) takePreferred(preferred *Core) *Core {
	cores := a.cores()
	a.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	if preferred != nil {
		cores = append([]*Core{preferred}, cores...)
	}
	a.smu.Lock()
	defer a.smu.Unlock()
	for _, c := range cores {
		if !a.held[c] {
			a.held[c] = true
			*a.core = append(*a.core, c)
			return c
		}
	}
	return cores[0]
}

// restartCore starts a core machine again and lets it catch up.
func (a act) restartCore(core *Core) {
	a.startCore(core, false)
	Wait(4 * time.Second)
}

// loseCore ends a core machine for a while.
func (a act) loseCore(core *Core, power, wipe bool) {
	a.killCore(core, power)
	if wipe {
		core.Disk.Wipe()
	}
	Wait(a.ms(300, 3000))
	a.restartCore(core)
}

// Of these no two go on at once: the deployment bears the loss of one.
var coreTroubles = []trouble{
	{"core kill", single, func(a act) { c := a.one(); a.say("core %s killed", c.Host); a.loseCore(c, false, false) }},
	{"core power", single, func(a act) { c := a.one(); a.say("core %s loses power", c.Host); a.loseCore(c, true, false) }},
	{"core wipe", single, func(a act) { c := a.one(); a.say("core %s loses its disk", c.Host); a.loseCore(c, true, true) }},
	{"writer power", single, func(a act) {
		c := a.takePreferred(a.Writer())
		a.say("writer %s loses power", c.Host)
		a.loseCore(c, true, a.IntN(2) == 0)
	}},
	{"after ack", single, func(a act) {
		// A node loses power, or its disk, right after it acknowledged something.
		d := a.next()
		a.alter(d)
		if !a.op.Send(a.g.Context(), d, "", "") {
			return
		}
		want := a.Writer()
		if a.IntN(2) == 0 {
			want = nil
		}
		c := a.takePreferred(want)
		a.say("core %s is lost right after document %d was taken", c.Host, d.Number)
		a.loseCore(c, true, a.IntN(2) == 0)
	}},
	{"core freeze", single, func(a act) {
		c := a.one()
		long := a.ms(500, 5000)
		a.say("core %s frozen for %v", c.Host, long)
		a.unsettled(c, true, "frozen "+c.Host)
		a.Net.Freeze("store-"+c.Host, true)
		a.Net.Freeze("core-"+c.Host, true)
		Wait(long)
		a.Net.Freeze("store-"+c.Host, false)
		a.Net.Freeze("core-"+c.Host, false)
		a.unsettled(c, false, "thawed "+c.Host)
		Wait(4 * time.Second)
	}},
	{"core cut", single, func(a act) {
		c := a.one()
		long := a.ms(1000, 6000)
		a.say("core %s cut off from the core for %v", c.Host, long)
		whole := a.IntN(2) == 0
		a.unsettled(c, true, "cut "+c.Host)
		set := func(on bool) {
			if whole {
				a.apart(c.Host, on)
				return
			}
			for _, o := range a.cores() {
				if o != c && (on || !a.withoutPower(o.Host)) {
					a.Net.Cut(c.Host, o.Host, on)
					a.Net.Cut(o.Host, c.Host, on)
				}
			}
		}
		set(true)
		Wait(long)
		set(false)
		a.unsettled(c, false, "joined "+c.Host)
		Wait(4 * time.Second)
	}},
	{"core split", whole, func(a act) {
		// No majority anywhere: each is alone.
		long := a.ms(1000, 3000)
		a.say("the core is cut in three for %v", long)
		set := func(on bool) {
			for _, c := range a.cores() {
				for _, o := range a.cores() {
					if o != c {
						a.Net.Cut(c.Host, o.Host, on)
					}
				}
			}
		}
		end := a.wit.Touch.Minority()
		set(true)
		Wait(long)
		set(false)
		end()
		a.wit.Touch.Core("joined")
		Wait(4 * time.Second)
	}},
	{"core roll", whole, func(a act) {
		for _, c := range a.cores() {
			a.say("core %s stopped and started", c.Host)
			a.stopCore(c)
			Wait(a.ms(100, 300))
			a.restartCore(c)
		}
	}},
	{"core clock", single, func(a act) {
		c := a.one()
		by := time.Duration(a.IntN(20001)-10000) * time.Millisecond
		a.say("the time of day at core %s jumps by %v", c.Host, by)
		a.wit.Touch.Core("clock")
		c.Skew(by)
		Wait(a.ms(2000, 4000))
		c.Skew(0)
		a.wit.Touch.Core("clock")
		Wait(4 * time.Second)
	}},
	{"disk slow", single, func(a act) {
		c := a.one()
		lag := a.ms(50, 1500)
		a.say("disk of core %s takes %v", c.Host, lag)
		end := a.wit.Touch.CoreWhile("disk of " + c.Host)
		c.Disk.Slow(lag)
		Wait(a.ms(2000, 4000))
		c.Disk.Slow(0)
		end()
		Wait(4 * time.Second)
	}},
	{"disk full", single, func(a act) {
		c := a.one()
		a.say("disk of core %s is full", c.Host)
		end := a.wit.Touch.CoreWhile("disk of " + c.Host)
		c.Disk.Room(0)
		Wait(a.ms(2000, 4000))
		c.Disk.Room(-1)
		end()
		Wait(4 * time.Second)
	}},
	{"core replaced", single, func(a act) {
		old := a.one()
		i := slices.Index(a.cores(), old)
		a.smu.Lock()
		a.spare++
		fresh := &Core{Host: fmt.Sprintf("10.0.0.%d", 50+a.spare), Area: old.Area, Disk: NewDisk()}
		a.smu.Unlock()
		a.say("core %s is lost for good, %s comes", old.Host, fresh.Host)
		if a.IntN(2) == 0 {
			a.stopCore(old)
		} else {
			a.killCore(old, true)
		}
		Wait(a.ms(200, 1000))
		a.replaceCore(i, fresh)
		Wait(5 * time.Second)
	}},
}
