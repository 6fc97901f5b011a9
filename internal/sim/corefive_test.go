package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// startFive starts a control plane of five voters that tolerates two losses, and returns it
// with acknowledged writes.
func startFive(t *testing.T, seed uint64) (*coreFleet, map[string]uint64) {
	l := newCoreFleet(t, seed, 5, 2)
	l.start = time.Now()
	l.startAll()
	l.Until(4*time.Second, "all machines are members", func() bool { return l.settled(5) })
	l.StoreSettings["founding"] = false
	Wait(time.Second)
	return l, l.writeKeys(25)
}

// pickTwo draws two voters, with the leader among them for even seeds.
func (l *coreFleet) pickTwo(rnd *rand.Rand, seed uint64) (picked []*ControlMachine) {
	leader := l.markFaulted(l.Leader())
	all := slices.Clone(l.ControlMachines)
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if seed%2 == 0 {
		picked = append(picked, leader)
	}
	for _, c := range all {
		if c != leader && c.Store != nil && len(picked) < 2 {
			picked = append(picked, c)
		}
	}
	return picked
}

// fiveFaults are the ways in which five voters lose two at once, or all for a moment. Each
// function returns when the machines or their replacements are running.
var fiveFaults = []struct {
	name  string
	bound time.Duration // on the time until the next write
	do    func(l *coreFleet, rnd *rand.Rand, seed uint64, expected map[string]uint64)
}{
	{"two lost while an empty one joins", 2500 * time.Millisecond, func(l *coreFleet, rnd *rand.Rand, seed uint64, _ map[string]uint64) {
		two := l.pickTwo(rnd, seed)
		l.KillControlMachine(two[0], true)
		Wait(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		l.RestartControlMachine(l.addReplacement(two[0]))
		// At a random point of the new machine's way from empty to voter.
		Wait(time.Duration(rnd.IntN(1200)) * time.Millisecond)
		l.KillControlMachine(two[1], true)
		l.RestartControlMachine(l.addReplacement(two[1]))
	}},
	{"both replaced at new addresses", 2 * time.Second, func(l *coreFleet, rnd *rand.Rand, seed uint64, _ map[string]uint64) {
		for _, c := range l.pickTwo(rnd, seed) {
			l.Net.Isolate(c.Host, true)
			l.KillControlMachine(c, true)
			l.RestartControlMachine(l.addReplacement(c))
		}
	}},
	{"two wiped, all others without power", 2500 * time.Millisecond, func(l *coreFleet, rnd *rand.Rand, seed uint64, expected map[string]uint64) {
		two := l.pickTwo(rnd, seed)
		// Acknowledged just before, at a machine whose disk is lost.
		if rev := l.putKey(two[0], "last", "last"); rev > 0 {
			expected["last"] = rev
		}
		for _, c := range l.ControlMachines {
			l.KillControlMachine(c, true)
			if slices.Contains(two, c) {
				c.Disk.Wipe()
			}
		}
		Wait(time.Duration(rnd.IntN(700)) * time.Millisecond)
		rnd.Shuffle(5, func(i, j int) {
			l.ControlMachines[i], l.ControlMachines[j] = l.ControlMachines[j], l.ControlMachines[i]
		})
		for _, c := range l.ControlMachines {
			l.RestartControlMachine(c)
			Wait(time.Duration(rnd.IntN(100)) * time.Millisecond)
		}
	}},
	{"all killed, back within a second", 500 * time.Millisecond, func(l *coreFleet, rnd *rand.Rand, _ uint64, expected map[string]uint64) {
		if rev := l.putKey(l.ControlMachines[rnd.IntN(5)], "last", "last"); rev > 0 {
			expected["last"] = rev
		}
		for _, c := range l.ControlMachines {
			l.KillControlMachine(c, false)
		}
		Wait(time.Duration(200+rnd.IntN(800)) * time.Millisecond)
		for _, c := range l.ControlMachines {
			l.RestartControlMachine(c)
		}
	}},
}

// TestFiveVotersTolerateTwoLosses checks each way in which two of five voters are lost.
// Writes continue within a bound, numbers only rise, no acknowledged write is lost, and
// five machines vote again shortly after catch_up_ms.
func TestFiveVotersTolerateTwoLosses(t *testing.T) {
	skipUnderRace(t)
	for i, fault := range fiveFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					l, expected := startFive(t, 760+10*uint64(i)+seed)
					defer l.Stop()
					defer func() {
						if t.Failed() {
							t.Log(seed, l.members())
							l.logEvents(t, 12*time.Second)
						}
					}()
					rnd := rand.New(rand.NewPCG(seed, uint64(i)))
					stopCounting := l.takeNumbers(rand.New(rand.NewPCG(seed, 8)))
					fault.do(l, rnd, seed, expected)
					elapsed := l.timeToWrite(8 * time.Second)
					restored := l.Until(6*time.Second, "five machines vote again", func() bool { return l.settled(5) })
					t.Logf("seed %d: the next write after %v, five machines vote %v later", seed, elapsed.Round(time.Millisecond), restored.Round(time.Millisecond))
					if elapsed > fault.bound {
						t.Errorf("no write succeeded for %v", elapsed)
					}
					Wait(time.Second)
					stopCounting()
					l.checkKeys(expected)
				})
			}
		})
	}
}

// partition cuts a minority off from the other machines, or joins them again.
func (l *coreFleet) partition(minority []*ControlMachine, on bool) {
	for _, a := range minority {
		for _, b := range l.ControlMachines {
			if !slices.Contains(minority, b) {
				l.Net.Cut(a.Host, b.Host, on)
				l.Net.Cut(b.Host, a.Host, on)
			}
		}
	}
}

// TestFiveVotersPartitioned splits five voters into two and three, with the leader on
// either side, while callers reach both. The majority continues. The minority acknowledges
// nothing and returns no stale values. No write that either side refused ever becomes
// visible.
func TestFiveVotersPartitioned(t *testing.T) {
	skipUnderRace(t)
	for seed := range seeds(6) {
		synctest.Test(t, func(t *testing.T) {
			l, expected := startFive(t, 820+seed)
			defer l.Stop()
			rnd := rand.New(rand.NewPCG(seed, 4))
			minority := l.pickTwo(rnd, seed)
			l.partition(minority, true)
			Wait(2 * time.Second)
			var mu sync.Mutex
			var pending sync.WaitGroup
			refused, minorityAnswers, majorityAnswers := map[string]bool{}, 0, 0
			for i := range 150 {
				for j, c := range l.ControlMachines {
					pending.Add(1)
					l.g.Go("cut-put", func(context.Context) {
						defer pending.Done()
						key := fmt.Sprintf("cut%d-%d", j, i)
						code, got := l.Request("PUT", c.Host+":7003", "/puffin/keys/"+key+"?left_ms=900", fmt.Sprintf(`{"value":%q}`, key))
						oldStatus, _ := l.Get(c.Host+":7003", "/puffin/keys/mark1?left_ms=900")
						mu.Lock()
						defer mu.Unlock()
						rev, _ := got["rev"].(float64)
						switch inMinority := slices.Contains(minority, c); {
						case inMinority && (code == 200 || oldStatus == 200):
							minorityAnswers++
						case code == 200:
							majorityAnswers++
							expected[key] = uint64(rev)
						case code == 503 || code == 429:
							refused[key] = true
						}
					})
				}
				Wait(20 * time.Millisecond)
			}
			pending.Wait()
			l.partition(minority, false)
			elapsed := l.timeToWrite(4 * time.Second)
			t.Logf("seed %d: the majority answered %d, the minority %d, %d were refused; the next write %v after the partition", seed, majorityAnswers, minorityAnswers, len(refused), elapsed.Round(time.Millisecond))
			if minorityAnswers > 0 || majorityAnswers < 440 || len(refused) < 100 {
				t.Errorf("the minority answered %d, the majority %d of 450, %d were refused", minorityAnswers, majorityAnswers, len(refused))
			}
			l.Until(4*time.Second, "all stores are ready", func() bool { return l.settled(5) })
			for key := range refused {
				if code, got := l.Get(l.ControlMachines[0].Host+":7003", "/puffin/keys/"+key); code != 404 {
					t.Errorf("%s was refused, but is visible: %d %v", key, code, got)
				}
			}
			l.checkKeys(expected)
		})
	}
}
