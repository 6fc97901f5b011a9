package sim

import (
	"fmt"
	"slices"
	"time"
)

// cutOff cuts a machine off from all hosts but its own callers, or joins it again.
func (s *site) cutOff(m *machine, on bool) {
	s.apart(m.Host, on, fmt.Sprintf("10.0.8.%d", m.n))
}

// apart cuts a host off from all others except the given ones, or joins it again
// with those that have power.
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

// withoutPower reports whether a host has no power.
func (s *site) withoutPower(host string) bool {
	s.smu.Lock()
	defer s.smu.Unlock()
	return s.dark[host]
}

// one reserves a random control-plane machine that no other fault has reserved.
func (a act) one() *Core { return a.takePreferred(nil) }

// takePreferred reserves a control-plane machine, the preferred one if it is free.
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

// restartCore starts a control-plane machine again and waits for it to catch up.
func (a act) restartCore(core *Core) {
	a.startCore(core, false)
	Wait(4 * time.Second)
}

// crash kills a control-plane machine, with its power or its disk if so told, and
// starts it again after up to 3.3 s.
func (a act) crash(core *Core, power, wipe bool) {
	a.killCore(core, power)
	if wipe {
		core.Disk.Wipe()
	}
	Wait(a.ms(300, 3000))
	a.restartCore(core)
}

// coreTroubles disturb the control plane. At most as many machines are disturbed at
// once as the deployment tolerates losing.
var coreTroubles = []trouble{
	{"core kill", single, func(a act) { c := a.one(); a.say("core host %s killed", c.Host); a.crash(c, false, false) }},
	{"core power", single, func(a act) { c := a.one(); a.say("core host %s loses power", c.Host); a.crash(c, true, false) }},
	{"core wipe", single, func(a act) { c := a.one(); a.say("core host %s wiped", c.Host); a.crash(c, true, true) }},
	{"writer power", single, func(a act) {
		c := a.takePreferred(a.Writer())
		a.say("leader %s loses power", c.Host)
		a.crash(c, true, a.IntN(2) == 0)
	}},
	{"after ack", single, func(a act) {
		// A machine loses its power, and maybe its disk, right after a configuration
		// was acknowledged.
		draft := a.next()
		a.alter(draft)
		if !a.op.Send(a.g.Context(), draft, "", "") {
			return
		}
		preferred := a.Writer()
		if a.IntN(2) == 0 {
			preferred = nil
		}
		c := a.takePreferred(preferred)
		a.say("core host %s is lost right after configuration %d was acknowledged", c.Host, draft.Number)
		a.crash(c, true, a.IntN(2) == 0)
	}},
	{"core freeze", single, func(a act) {
		c := a.one()
		duration := a.ms(500, 5000)
		a.say("core host %s paused for %v", c.Host, duration)
		a.unsettled(c, true, "frozen "+c.Host)
		a.Net.Freeze("store-"+c.Host, true)
		a.Net.Freeze("core-"+c.Host, true)
		Wait(duration)
		a.Net.Freeze("store-"+c.Host, false)
		a.Net.Freeze("core-"+c.Host, false)
		a.unsettled(c, false, "thawed "+c.Host)
		Wait(4 * time.Second)
	}},
	{"core cut", single, func(a act) {
		c := a.one()
		duration := a.ms(1000, 6000)
		a.say("core host %s cut off for %v", c.Host, duration)
		everybody := a.IntN(2) == 0
		a.unsettled(c, true, "cut "+c.Host)
		setCut := func(on bool) {
			if everybody {
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
		setCut(true)
		Wait(duration)
		setCut(false)
		a.unsettled(c, false, "joined "+c.Host)
		Wait(4 * time.Second)
	}},
	{"core split", whole, func(a act) {
		// Every machine is isolated, so that there is no majority.
		duration := a.ms(1000, 3000)
		a.say("every core host isolated for %v", duration)
		setCut := func(on bool) {
			for _, c := range a.cores() {
				for _, o := range a.cores() {
					if o != c {
						a.Net.Cut(c.Host, o.Host, on)
					}
				}
			}
		}
		end := a.wit.Touch.Minority()
		setCut(true)
		Wait(duration)
		setCut(false)
		end()
		a.wit.Touch.Core("joined")
		Wait(4 * time.Second)
	}},
	{"core roll", whole, func(a act) {
		for _, c := range a.cores() {
			a.say("core host %s restarted gracefully", c.Host)
			a.stopCore(c)
			Wait(a.ms(100, 300))
			a.restartCore(c)
		}
	}},
	{"core clock", single, func(a act) {
		c := a.one()
		jump := time.Duration(a.IntN(20001)-10000) * time.Millisecond
		a.say("wall clock of core host %s jumps by %v", c.Host, jump)
		a.wit.Touch.Core("clock")
		c.Skew(jump)
		Wait(a.ms(2000, 4000))
		c.Skew(0)
		a.wit.Touch.Core("clock")
		Wait(4 * time.Second)
	}},
	{"disk slow", single, func(a act) {
		c := a.one()
		syncTime := a.ms(50, 1500)
		a.say("disk syncs of core host %s take %v", c.Host, syncTime)
		end := a.wit.Touch.CoreWhile("disk of " + c.Host)
		c.Disk.Slow(syncTime)
		Wait(a.ms(2000, 4000))
		c.Disk.Slow(0)
		end()
		Wait(4 * time.Second)
	}},
	{"disk full", single, func(a act) {
		c := a.one()
		a.say("disk of core host %s is full", c.Host)
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
		replacement := &Core{Host: fmt.Sprintf("10.0.0.%d", 50+a.spare), Area: old.Area, Disk: NewDisk()}
		a.smu.Unlock()
		a.say("core host %s is lost for good, %s replaces it", old.Host, replacement.Host)
		if a.IntN(2) == 0 {
			a.stopCore(old)
		} else {
			a.killCore(old, true)
		}
		Wait(a.ms(200, 1000))
		a.replaceCore(i, replacement)
		Wait(5 * time.Second)
	}},
}
