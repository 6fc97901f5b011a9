package sim

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// fresh adds an empty machine at a new address, told of three of the machines
// that the operator's list held a moment ago, the lost one first.
func (l *lab) fresh(lost *Core) *Core {
	l.made++
	c := l.add(fmt.Sprintf("10.0.3.%d", l.made), lost.Area)
	c.Seeds = []string{lost.Host}
	running := l.cores()
	for _, o := range running {
		if s, _ := l.runs(o); o != lost && o != c && s != nil && len(c.Seeds) < min(3, len(running)-1) {
			c.Seeds = append(c.Seeds, o.Host)
		}
	}
	return c
}

// membershipConverged tells whether every registry that runs knows exactly those that run.
func (l *lab) membershipConverged() bool {
	var want []string
	for _, c := range l.Cores {
		if c.Registry != nil {
			want = append(want, "core-"+c.Host)
		}
	}
	slices.Sort(want)
	for _, c := range l.Cores {
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

// TestVoterReplaced: a voter is lost for good, with or without a word, and an empty
// machine comes at a new address a second and a half later; or that one comes
// first and the other leaves politely. It has the place well within
// catch_up_ms of its start; then as many machines as the core is to bear lose
// their disks, all others their power, and nothing acknowledged is lost.
func TestVoterReplaced(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, bear int }{{3, 1}, {5, 2}, {7, 1}} {
		for manner, name := range []string{"killed", "dark", "left", "planned"} {
			t.Run(fmt.Sprintf("%d to bear %d, %s", c.cores, c.bear, name), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds(2) {
					synctest.Test(t, func(t *testing.T) {
						l := newLab(t, seed+580+uint64(manner), c.cores, c.bear)
						defer l.Stop()
						l.up()
						voters := 2*c.bear + 1
						l.Until(4*time.Second, "all places are taken", func() bool { return len(l.places()) == voters })
						l.Stores["founding"] = false
						Wait(2 * time.Second)
						acked := l.marks(20)
						leader := l.Writer()
						lost := l.Cores[slices.IndexFunc(l.Cores, func(c *Core) bool { return (c == leader) == (seed == 0) && l.places()[c.Host] })]
						remove := func() {
							switch name {
							case "dark":
								l.Net.Isolate(lost.Host, true)
							case "left", "planned":
								lost.Registry.Stop()
								lost.Store.Stop()
							}
							l.KillCore(lost, true)
						}
						var replacement *Core
						if name == "planned" {
							replacement = l.fresh(lost)
							l.BackCore(replacement)
							Wait(2 * time.Second)
							remove()
						} else {
							remove()
							Wait(1500 * time.Millisecond)
							replacement = l.fresh(lost)
							l.BackCore(replacement)
						}
						start := time.Now()
						l.Until(3500*time.Millisecond, "the lost one's place is taken", func() bool {
							members := l.places()
							return len(members) == voters && !members[lost.Host]
						})
						t.Logf("seed %d: place taken %v after the new one's start", seed, time.Since(start).Round(time.Millisecond))
						l.Until(3*time.Second, "all registries meet", l.membershipConverged)
						Wait(4*time.Second - time.Since(start))
						ackedLater := l.marks(20)
						var wiped []*Core
						members := l.places()
						for _, c := range l.Cores {
							if c.Store == nil {
								continue
							}
							l.KillCore(c, true)
							if members[c.Host] && c != replacement && len(wiped) < bearOf(voters) {
								wiped = append(wiped, c)
								c.Disk.Wipe()
							}
						}
						Wait(300 * time.Millisecond)
						for _, c := range l.Cores {
							if c != lost {
								l.BackCore(c)
							}
						}
						t.Logf("after the loss of %d disks and all power, writes go through in %v", len(wiped), l.next(10*time.Second).Round(time.Millisecond))
						for key, rev := range ackedLater {
							acked[key] = max(rev, acked[key])
						}
						l.holds(acked)
						l.Until(8*time.Second, "all places are taken again", func() bool { return len(l.places()) == voters })
					})
				}
			})
		}
	}
}

func bearOf(voters int) int { return (voters - 1) / 2 }

// TestTwoVotersLost: of five voters two are lost at once, and two empty machines come
// one after the other, the second while the first is joining.
func TestTwoVotersLost(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		synctest.Test(t, func(t *testing.T) {
			l := newLab(t, seed+620, 5, 2)
			defer l.Stop()
			l.up()
			l.Until(4*time.Second, "all places are taken", func() bool { return len(l.places()) == 5 })
			l.Stores["founding"] = false
			Wait(time.Second)
			acked := l.marks(20)
			a, b := l.Cores[seed%5], l.Cores[(seed+2)%5]
			l.KillCore(a, true)
			l.KillCore(b, true)
			l.next(2 * time.Second)
			Wait(time.Duration(seed) * 400 * time.Millisecond)
			firstNew := l.fresh(a)
			l.BackCore(firstNew)
			Wait(time.Duration(seed) * 300 * time.Millisecond)
			secondNew := l.fresh(b)
			l.BackCore(secondNew)
			took := l.Until(5*time.Second, "both places are taken", func() bool {
				members := l.places()
				return len(members) == 5 && members[firstNew.Host] && members[secondNew.Host]
			})
			t.Logf("both places are taken after %v", took.Round(time.Millisecond))
			l.holds(acked)
			Wait(time.Second)
			// Now two more may go.
			l.KillCore(firstNew, true)
			for _, c := range l.Cores {
				if c.Store != nil && c != secondNew {
					l.KillCore(c, true)
					break
				}
			}
			l.next(3 * time.Second)
			l.holds(acked)
		})
	}
}

// TestFlappingVoter: a voter that comes and goes, with a stand-by at hand, changes
// places no more often than once in catch_up_ms.
func TestFlappingVoter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t, 630, 4, 1)
		defer l.Stop()
		l.up()
		Wait(3 * time.Second)
		acked := l.marks(20)
		before := l.count(event.Replaced)
		start := time.Now()
		voter := l.Cores[slices.IndexFunc(l.Cores, func(voter *Core) bool { return l.places()[voter.Host] && voter != l.Writer() })]
		for range 12 {
			l.Net.Isolate(voter.Host, true)
			Wait(1700 * time.Millisecond)
			l.Net.Isolate(voter.Host, false)
			Wait(1300 * time.Millisecond)
		}
		changes := l.count(event.Replaced) - before
		t.Logf("%d changes of the members in %v", changes, time.Since(start))
		if changes > int(time.Since(start)/(4*time.Second)) || changes == 0 {
			t.Errorf("%d changes of the members", changes)
		}
		l.next(3 * time.Second)
		l.holds(acked)
	})
}
