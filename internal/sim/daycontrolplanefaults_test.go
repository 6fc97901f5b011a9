package sim

import (
	"fmt"
	"slices"
	"time"
)

// cutOff cuts a machine off from all hosts but its own callers, or joins it again.
func (s *site) cutOff(m *machine, on bool) {
	s.isolateExcept(m.Host, on, fmt.Sprintf("10.0.8.%d", m.number))
}

// isolateExcept cuts a host off from all others except the given ones, or joins it again
// with those that have power.
func (s *site) isolateExcept(isolated string, on bool, except ...string) {
	s.Net.mu.Lock()
	var others []string
	for other := range s.Net.zones {
		if other != isolated && !slices.Contains(except, other) {
			others = append(others, other)
		}
	}
	s.Net.mu.Unlock()
	s.Net.Partition(isolated, slices.DeleteFunc(others, func(other string) bool { return !on && s.withoutPower(other) }), on)
}

// withoutPower reports whether a host has no power.
func (s *site) withoutPower(host string) bool {
	s.siteMu.Lock()
	defer s.siteMu.Unlock()
	return s.powerless[host]
}

// anyCore reserves a random control-plane machine that no other fault has reserved.
func (a faultRun) anyCore() *ControlMachine { return a.takePreferred(nil) }

// takePreferred reserves a control-plane machine, the preferred one if it is free.
func (a faultRun) takePreferred(preferred *ControlMachine) *ControlMachine {
	cores := a.controlMachines()
	a.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	if preferred != nil {
		cores = append([]*ControlMachine{preferred}, cores...)
	}
	a.siteMu.Lock()
	defer a.siteMu.Unlock()
	for _, c := range cores {
		if !a.inTrouble[c] {
			a.inTrouble[c] = true
			*a.heldCores = append(*a.heldCores, c)
			return c
		}
	}
	return cores[0]
}

// restartCore starts a control-plane machine again and waits for it to catch up.
func (a faultRun) restartCore(core *ControlMachine) {
	a.startCore(core, false)
	Wait(4 * time.Second)
}

// crash kills a control-plane machine, with its power or its disk if so told, and
// starts it again after up to 3.3 s.
func (a faultRun) crash(core *ControlMachine, power, wipe bool) {
	a.killCore(core, power)
	if wipe {
		core.Disk.Wipe()
	}
	Wait(a.ms(300, 3000))
	a.restartCore(core)
}

// controlPlaneTroubles disturb the control plane. At most as many machines are disturbed at
// once as the deployment tolerates losing.
var controlPlaneTroubles = []dayFault{
	{"core kill", oneCore, func(a faultRun) { c := a.anyCore(); a.say("core host %s killed", c.Host); a.crash(c, false, false) }},
	{"core power", oneCore, func(a faultRun) { c := a.anyCore(); a.say("core host %s loses power", c.Host); a.crash(c, true, false) }},
	{"core wipe", oneCore, func(a faultRun) { c := a.anyCore(); a.say("core host %s wiped", c.Host); a.crash(c, true, true) }},
	{"writer power", oneCore, func(a faultRun) {
		c := a.takePreferred(a.Leader())
		a.say("leader %s loses power", c.Host)
		a.crash(c, true, a.IntN(2) == 0)
	}},
	{"after ack", oneCore, func(a faultRun) {
		// A machine loses its power, and maybe its disk, right after a configuration
		// was acknowledged.
		draft := a.nextDraft()
		a.changeDraft(draft)
		if !a.op.Send(a.g.Context(), draft, "", "") {
			return
		}
		preferred := a.Leader()
		if a.IntN(2) == 0 {
			preferred = nil
		}
		c := a.takePreferred(preferred)
		a.say("core host %s is lost right after configuration %d was acknowledged", c.Host, draft.Number)
		a.crash(c, true, a.IntN(2) == 0)
	}},
	{"core freeze", oneCore, func(a faultRun) {
		c := a.anyCore()
		duration := a.ms(500, 5000)
		a.say("core host %s paused for %v", c.Host, duration)
		a.recordCoreChange(c, true, "frozen "+c.Host)
		a.Net.PauseProcess("store-"+c.Host, true)
		a.Net.PauseProcess("core-"+c.Host, true)
		Wait(duration)
		a.Net.PauseProcess("store-"+c.Host, false)
		a.Net.PauseProcess("core-"+c.Host, false)
		a.recordCoreChange(c, false, "thawed "+c.Host)
		Wait(4 * time.Second)
	}},
	{"core cut", oneCore, func(a faultRun) {
		c := a.anyCore()
		duration := a.ms(1000, 6000)
		a.say("core host %s cut off for %v", c.Host, duration)
		everybody := a.IntN(2) == 0
		a.recordCoreChange(c, true, "cut "+c.Host)
		setCut := func(on bool) {
			if everybody {
				a.isolateExcept(c.Host, on)
				return
			}
			for _, o := range a.controlMachines() {
				if o != c && (on || !a.withoutPower(o.Host)) {
					a.Net.Cut(c.Host, o.Host, on)
					a.Net.Cut(o.Host, c.Host, on)
				}
			}
		}
		setCut(true)
		Wait(duration)
		setCut(false)
		a.recordCoreChange(c, false, "joined "+c.Host)
		Wait(4 * time.Second)
	}},
	{"core split", allCores, func(a faultRun) {
		// Every machine is isolated, so that there is no majority.
		duration := a.ms(1000, 3000)
		a.say("every core host isolated for %v", duration)
		setCut := func(on bool) {
			for _, c := range a.controlMachines() {
				for _, o := range a.controlMachines() {
					if o != c {
						a.Net.Cut(c.Host, o.Host, on)
					}
				}
			}
		}
		end := a.recorder.Faults.NoMajority()
		setCut(true)
		Wait(duration)
		setCut(false)
		end()
		a.recorder.Faults.Unsettle("joined")
		Wait(4 * time.Second)
	}},
	{"core roll", allCores, func(a faultRun) {
		for _, c := range a.controlMachines() {
			a.say("core host %s restarted gracefully", c.Host)
			a.stopCore(c)
			Wait(a.ms(100, 300))
			a.restartCore(c)
		}
	}},
	{"core clock", oneCore, func(a faultRun) {
		c := a.anyCore()
		jump := time.Duration(a.IntN(20001)-10000) * time.Millisecond
		a.say("wall clock of core host %s jumps by %v", c.Host, jump)
		a.recorder.Faults.Unsettle("clock")
		c.Skew(jump)
		Wait(a.ms(2000, 4000))
		c.Skew(0)
		a.recorder.Faults.Unsettle("clock")
		Wait(4 * time.Second)
	}},
	{"disk slow", oneCore, func(a faultRun) {
		c := a.anyCore()
		syncTime := a.ms(50, 1500)
		a.say("disk syncs of core host %s take %v", c.Host, syncTime)
		end := a.recorder.Faults.UnsettleWhile("disk of " + c.Host)
		c.Disk.SetSyncDelay(syncTime)
		Wait(a.ms(2000, 4000))
		c.Disk.SetSyncDelay(0)
		end()
		Wait(4 * time.Second)
	}},
	{"disk full", oneCore, func(a faultRun) {
		c := a.anyCore()
		a.say("disk of core host %s is full", c.Host)
		end := a.recorder.Faults.UnsettleWhile("disk of " + c.Host)
		c.Disk.LimitFreeBytes(0)
		Wait(a.ms(2000, 4000))
		c.Disk.LimitFreeBytes(-1)
		end()
		Wait(4 * time.Second)
	}},
	{"core replaced", oneCore, func(a faultRun) {
		old := a.anyCore()
		i := slices.Index(a.controlMachines(), old)
		a.siteMu.Lock()
		a.spareMachines++
		replacement := &ControlMachine{Host: fmt.Sprintf("10.0.0.%d", 50+a.spareMachines), Zone: old.Zone, Disk: NewDisk()}
		a.siteMu.Unlock()
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
