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
	all := l.cores()
	for _, o := range all {
		if s, _ := l.runs(o); o != lost && o != c && s != nil && len(c.Seeds) < min(3, len(all)-1) {
			c.Seeds = append(c.Seeds, o.Host)
		}
	}
	return c
}

// meet tells whether every registry that runs knows exactly those that run.
func (l *lab) meet() bool {
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
		list, _ := got["members"].([]any)
		var have []string
		for _, m := range list {
			row, _ := m.(map[string]any)
			have = append(have, fmt.Sprint(row["node"]))
		}
		if slices.Sort(have); !slices.Equal(have, want) {
			return false
		}
	}
	return true
}

// TestReplaced: a voter is lost for good, with or without a word, and an empty
// machine comes at a new address a second and a half later; or that one comes
// first and the other leaves politely. It has the place well within
// catch_up_ms of its start; then as many machines as the core is to bear lose
// their disks, all others their power, and nothing acknowledged is lost.
func TestReplaced(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, bear int }{{3, 1}, {5, 2}, {7, 1}} {
		for how, name := range []string{"killed", "dark", "left", "planned"} {
			t.Run(fmt.Sprintf("%d to bear %d, %s", c.cores, c.bear, name), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds(2) {
					synctest.Test(t, func(t *testing.T) {
						l := newLab(t, seed+580+uint64(how), c.cores, c.bear)
						defer l.Stop()
						l.up()
						want := 2*c.bear + 1
						l.Until(4*time.Second, "all places are taken", func() bool { return len(l.places()) == want })
						l.Stores["founding"] = false
						Wait(2 * time.Second)
						k := l.marks(20)
						w := l.Writer()
						lost := l.Cores[slices.IndexFunc(l.Cores, func(c *Core) bool { return (c == w) == (seed == 0) && l.places()[c.Host] })]
						go_ := func() {
							switch name {
							case "dark":
								l.Net.Isolate(lost.Host, true)
							case "left", "planned":
								lost.Registry.Stop()
								lost.Store.Stop()
							}
							l.KillCore(lost, true)
						}
						var fresh *Core
						if name == "planned" {
							fresh = l.fresh(lost)
							l.BackCore(fresh)
							Wait(2 * time.Second)
							go_()
						} else {
							go_()
							Wait(1500 * time.Millisecond)
							fresh = l.fresh(lost)
							l.BackCore(fresh)
						}
						began := time.Now()
						l.Until(3500*time.Millisecond, "the lost one's place is taken", func() bool {
							at := l.places()
							return len(at) == want && !at[lost.Host]
						})
						t.Logf("seed %d: place taken %v after the new one's start", seed, time.Since(began).Round(time.Millisecond))
						l.Until(3*time.Second, "all registries meet", l.meet)
						Wait(4*time.Second - time.Since(began))
						more := l.marks(20)
						var wiped []*Core
						places := l.places()
						for _, c := range l.Cores {
							if c.Store == nil {
								continue
							}
							l.KillCore(c, true)
							if places[c.Host] && c != fresh && len(wiped) < bearOf(want) {
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
						for key, rev := range more {
							k[key] = max(rev, k[key])
						}
						l.holds(k)
						l.Until(8*time.Second, "all places are taken again", func() bool { return len(l.places()) == want })
					})
				}
			})
		}
	}
}

func bearOf(voters int) int { return (voters - 1) / 2 }

// TestTwoLost: of five voters two are lost at once, and two empty machines come
// one after the other, the second while the first is joining.
func TestTwoLost(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		synctest.Test(t, func(t *testing.T) {
			l := newLab(t, seed+620, 5, 2)
			defer l.Stop()
			l.up()
			l.Until(4*time.Second, "all places are taken", func() bool { return len(l.places()) == 5 })
			l.Stores["founding"] = false
			Wait(time.Second)
			k := l.marks(20)
			a, b := l.Cores[seed%5], l.Cores[(seed+2)%5]
			l.KillCore(a, true)
			l.KillCore(b, true)
			l.next(2 * time.Second)
			Wait(time.Duration(seed) * 400 * time.Millisecond)
			x := l.fresh(a)
			l.BackCore(x)
			Wait(time.Duration(seed) * 300 * time.Millisecond)
			y := l.fresh(b)
			l.BackCore(y)
			took := l.Until(5*time.Second, "both places are taken", func() bool {
				at := l.places()
				return len(at) == 5 && at[x.Host] && at[y.Host]
			})
			t.Logf("both places are taken after %v", took.Round(time.Millisecond))
			l.holds(k)
			Wait(time.Second)
			// Now two more may go.
			l.KillCore(x, true)
			for _, c := range l.Cores {
				if c.Store != nil && c != y {
					l.KillCore(c, true)
					break
				}
			}
			l.next(3 * time.Second)
			l.holds(k)
		})
	}
}

// TestFlapping: a voter that comes and goes, with a stand-by at hand, changes
// places no more often than once in catch_up_ms.
func TestFlapping(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t, 630, 4, 1)
		defer l.Stop()
		l.up()
		Wait(3 * time.Second)
		k := l.marks(20)
		before := l.count(event.Replaced)
		from := time.Now()
		c := l.Cores[slices.IndexFunc(l.Cores, func(c *Core) bool { return l.places()[c.Host] && c != l.Writer() })]
		for range 12 {
			l.Net.Isolate(c.Host, true)
			Wait(1700 * time.Millisecond)
			l.Net.Isolate(c.Host, false)
			Wait(1300 * time.Millisecond)
		}
		n := l.count(event.Replaced) - before
		t.Logf("%d changes of the members in %v", n, time.Since(from))
		if n > int(time.Since(from)/(4*time.Second)) || n == 0 {
			t.Errorf("%d changes of the members", n)
		}
		l.next(3 * time.Second)
		l.holds(k)
	})
}
