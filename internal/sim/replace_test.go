package sim

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// addReplacement adds an empty machine at a new address. Its seeds are up to three machines
// of the operator's list before the loss, the lost one first.
func (l *coreFleet) addReplacement(lost *ControlMachine) *ControlMachine {
	l.replacements++
	c := l.addCore(fmt.Sprintf("10.0.3.%d", l.replacements), lost.Zone)
	c.Seeds = []string{lost.Host}
	running := l.controlMachines()
	for _, o := range running {
		if s, _ := l.controlProcessesOf(o); o != lost && o != c && s != nil && len(c.Seeds) < min(3, len(running)-1) {
			c.Seeds = append(c.Seeds, o.Host)
		}
	}
	return c
}

// membershipConverged reports whether every running registry lists exactly the
// running registries as members.
func (l *coreFleet) membershipConverged() bool {
	var want []string
	for _, c := range l.ControlMachines {
		if c.Registry != nil {
			want = append(want, "core-"+c.Host)
		}
	}
	slices.Sort(want)
	for _, c := range l.ControlMachines {
		if c.Registry == nil {
			continue
		}
		_, got := l.Get(c.Host+":7003", "/puffin/status")
		members, _ := got["members"].([]any)
		var found []string
		for _, m := range members {
			row, _ := m.(map[string]any)
			found = append(found, fmt.Sprint(row["node"]))
		}
		if slices.Sort(found); !slices.Equal(found, want) {
			return false
		}
	}
	return true
}

// TestReplaced: a voter is lost for good, after a kill, a partition or a
// graceful shutdown, and an empty machine starts at a new address 1.5 s later; or
// the new machine starts first and the old one then shuts down gracefully. The new
// machine becomes a voter well within catch_up_ms of its start. After that as many
// machines as the control plane tolerates lose their disks and all others their
// power, and no acknowledged write is lost.
func TestReplaced(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, bear int }{{3, 1}, {5, 2}, {7, 1}} {
		for manner, name := range []string{"killed", "dark", "left", "planned"} {
			t.Run(fmt.Sprintf("%d to bear %d, %s", c.cores, c.bear, name), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds(2) {
					synctest.Test(t, func(t *testing.T) {
						l := newCoreFleet(t, seed+580+uint64(manner), c.cores, c.bear)
						defer l.Stop()
						l.startAll()
						voters := 2*c.bear + 1
						l.Until(4*time.Second, "all memberships are filled", func() bool { return len(l.members()) == voters })
						l.StoreSettings["founding"] = false
						Wait(2 * time.Second)
						acked := l.writeKeys(20)
						leader := l.Leader()
						lost := l.ControlMachines[slices.IndexFunc(l.ControlMachines, func(c *ControlMachine) bool { return (c == leader) == (seed == 0) && l.members()[c.Host] })]
						remove := func() {
							switch name {
							case "dark":
								l.Net.Isolate(lost.Host, true)
							case "left", "planned":
								lost.Registry.Stop()
								lost.Store.Stop()
							}
							l.KillControlMachine(lost, true)
						}
						var replacement *ControlMachine
						if name == "planned" {
							replacement = l.addReplacement(lost)
							l.RestartControlMachine(replacement)
							Wait(2 * time.Second)
							remove()
						} else {
							remove()
							Wait(1500 * time.Millisecond)
							replacement = l.addReplacement(lost)
							l.RestartControlMachine(replacement)
						}
						start := time.Now()
						l.Until(3500*time.Millisecond, "the new machine replaces the lost voter", func() bool {
							members := l.members()
							return len(members) == voters && !members[lost.Host]
						})
						t.Logf("seed %d: voter replaced %v after the start of the new machine", seed, time.Since(start).Round(time.Millisecond))
						l.Until(3*time.Second, "all registries list the same members", l.membershipConverged)
						Wait(4*time.Second - time.Since(start))
						ackedLater := l.writeKeys(20)
						var wiped []*ControlMachine
						members := l.members()
						for _, c := range l.ControlMachines {
							if c.Store == nil {
								continue
							}
							l.KillControlMachine(c, true)
							if members[c.Host] && c != replacement && len(wiped) < faultTolerance(voters) {
								wiped = append(wiped, c)
								c.Disk.Wipe()
							}
						}
						Wait(300 * time.Millisecond)
						for _, c := range l.ControlMachines {
							if c != lost {
								l.RestartControlMachine(c)
							}
						}
						t.Logf("after the loss of %d disks and all power, the first write succeeded after %v", len(wiped), l.timeToWrite(10*time.Second).Round(time.Millisecond))
						for key, rev := range ackedLater {
							acked[key] = max(rev, acked[key])
						}
						l.checkKeys(acked)
						l.Until(8*time.Second, "all memberships are filled again", func() bool { return len(l.members()) == voters })
					})
				}
			})
		}
	}
}

func faultTolerance(voters int) int { return (voters - 1) / 2 }

// TestTwoLost: two of five voters are lost at once, and two empty machines
// start one after the other, the second while the first is still joining.
func TestTwoLost(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		synctest.Test(t, func(t *testing.T) {
			l := newCoreFleet(t, seed+620, 5, 2)
			defer l.Stop()
			l.startAll()
			l.Until(4*time.Second, "all memberships are filled", func() bool { return len(l.members()) == 5 })
			l.StoreSettings["founding"] = false
			Wait(time.Second)
			acked := l.writeKeys(20)
			a, b := l.ControlMachines[seed%5], l.ControlMachines[(seed+2)%5]
			l.KillControlMachine(a, true)
			l.KillControlMachine(b, true)
			l.timeToWrite(2 * time.Second)
			Wait(time.Duration(seed) * 400 * time.Millisecond)
			firstNew := l.addReplacement(a)
			l.RestartControlMachine(firstNew)
			Wait(time.Duration(seed) * 300 * time.Millisecond)
			secondNew := l.addReplacement(b)
			l.RestartControlMachine(secondNew)
			took := l.Until(5*time.Second, "both lost voters are replaced", func() bool {
				members := l.members()
				return len(members) == 5 && members[firstNew.Host] && members[secondNew.Host]
			})
			t.Logf("both lost voters were replaced after %v", took.Round(time.Millisecond))
			l.checkKeys(acked)
			Wait(time.Second)
			// The control plane tolerates the loss of two more machines.
			l.KillControlMachine(firstNew, true)
			for _, c := range l.ControlMachines {
				if c.Store != nil && c != secondNew {
					l.KillControlMachine(c, true)
					break
				}
			}
			l.timeToWrite(3 * time.Second)
			l.checkKeys(acked)
		})
	}
}

// TestFlapping: a voter is cut off and comes back again and again while a
// learner is available. The membership changes at most once per catch_up_ms.
func TestFlapping(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newCoreFleet(t, 630, 4, 1)
		defer l.Stop()
		l.startAll()
		Wait(3 * time.Second)
		acked := l.writeKeys(20)
		before := l.countEvents(event.Replaced)
		start := time.Now()
		voter := l.ControlMachines[slices.IndexFunc(l.ControlMachines, func(voter *ControlMachine) bool { return l.members()[voter.Host] && voter != l.Leader() })]
		for range 12 {
			l.Net.Isolate(voter.Host, true)
			Wait(1700 * time.Millisecond)
			l.Net.Isolate(voter.Host, false)
			Wait(1300 * time.Millisecond)
		}
		changes := l.countEvents(event.Replaced) - before
		t.Logf("%d membership changes in %v", changes, time.Since(start))
		if changes > int(time.Since(start)/(4*time.Second)) || changes == 0 {
			t.Errorf("%d membership changes", changes)
		}
		l.timeToWrite(3 * time.Second)
		l.checkKeys(acked)
	})
}
